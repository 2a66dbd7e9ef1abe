package org.skylarkmast.daemon.node;

import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.ownership.OwnerLocation;
import org.skylarkmast.core.program.ProgramEvent;
import org.skylarkmast.core.scheduling.CallScheduler;
import org.skylarkmast.core.scheduling.SchedulerSettings;
import org.skylarkmast.core.scheduling.SchedulingEvent;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.daemon.admin.AdminHandler;
import org.skylarkmast.daemon.admin.ObjectsResource;
import org.skylarkmast.daemon.configuration.ConfigurationFile;
import org.skylarkmast.daemon.configuration.ConfigurationKeeper;
import org.skylarkmast.daemon.configuration.ConfigurationPublisher;
import org.skylarkmast.daemon.configuration.ConfigurationReader;
import org.skylarkmast.daemon.dispatch.CallDispatch;
import org.skylarkmast.daemon.entry.CallersHandler;
import org.skylarkmast.daemon.entry.EntryHop;
import org.skylarkmast.daemon.entry.RequestRouter;
import org.skylarkmast.daemon.partition.PartitionRegistry;
import org.skylarkmast.daemon.partition.WaiterTable;
import org.skylarkmast.daemon.peer.ConfigurationExchange;
import org.skylarkmast.daemon.peer.OwnerClient;
import org.skylarkmast.daemon.peer.PeerChannels;
import org.skylarkmast.daemon.peer.PeerService;
import org.skylarkmast.daemon.settings.Settings;
import org.skylarkmast.daemon.telemetry.DaemonMetrics;
import org.skylarkmast.daemon.telemetry.MeteredJournal;
import org.skylarkmast.daemon.telemetry.MeteredStore;
import org.skylarkmast.daemon.telemetry.Tracing;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One daemon: all slices, wired. */
public final class Daemon implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    private static final long SCHEDULER_TICK_MS = 100;
    private static final long PARTITION_TICK_MS = 1_000;
    private static final long JOURNAL_LOOK_MS = 100;
    private static final long DRAIN_LOOK_MS = 50;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_IDLE_CONNECTIONS = 64;

    private final Settings settings;
    private final PrometheusRegistry metricsRegistry = new PrometheusRegistry();
    private final DaemonMetrics metrics = new DaemonMetrics(metricsRegistry);
    private final Tracing tracing;
    private final KeyValueStore store;
    private final Loops loops;
    private final WaiterTable waiters = new WaiterTable();
    private final PeerChannels channels = new PeerChannels();
    private final HttpClient client = new HttpClient(MAX_IDLE_CONNECTIONS, CONNECT_TIMEOUT_MS);
    private final AtomicReference<PartitionRegistry> registry = new AtomicReference<>();
    private final AtomicReference<ConfigurationExchange> configurationExchange =
            new AtomicReference<>();
    private final AtomicReference<OwnershipParts> parts = new AtomicReference<>();
    private final AtomicReference<MembershipParts> membership = new AtomicReference<>();
    private final AtomicReference<EngineParts> engines = new AtomicReference<>();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final AtomicBoolean degraded = new AtomicBoolean();
    private final AtomicBoolean closing = new AtomicBoolean();
    private final Server peerServer;
    private final OwnershipParts owned;
    private final CallDispatch dispatch;
    private final ConfigurationKeeper configuration;
    private final HttpServer callersServer;
    private final HttpServer administrationServer;

    /**
     * Builds and starts a daemon.
     *
     * @throws IOException if one of its addresses cannot be bound
     */
    public Daemon(Settings settings, KeyValueStore plainStore) throws IOException {
        this.settings = settings;
        this.store = new MeteredStore(plainStore, metrics);
        this.tracing =
                new Tracing(
                        settings.node().name(),
                        settings.telemetry().traceFile().map(Path::of),
                        settings.telemetry().otlpEndpoint());
        this.loops = new Loops(this::stopOnBrokenInvariant);
        this.peerServer = startPeerServer();
        HostPort peers = HostPort.parse(settings.addresses().peers());
        String peerAddress =
                settings.advertisedPeerAddress()
                        .orElse(new HostPort(peers.host(), peerServer.getPort()).toString());
        this.owned = new OwnershipParts(settings, peerAddress, store, channels, loops);
        this.dispatch =
                new CallDispatch(
                        new CallScheduler(SchedulerSettings.defaults(), new Random()::nextDouble),
                        loops.scheduler,
                        loops.blocking,
                        owned.ownership,
                        System::nanoTime,
                        client,
                        (callId, event) -> registry.get().post(callId, event),
                        release -> engines.get().release(release),
                        tracing,
                        metrics);
        registry.set(
                new PartitionRegistry(
                        loops.partitionExecutors(),
                        new MeteredJournal(owned.journal, metrics, System::nanoTime),
                        dispatch,
                        waiters,
                        System::nanoTime,
                        Configuration.EMPTY));
        membership.set(
                new MembershipParts(
                        settings,
                        owned,
                        channels,
                        dispatch,
                        loops,
                        draining::get,
                        this::configurationRevision));
        engines.set(new EngineParts(client, owned.ownership, registry.get(), dispatch, loops));
        this.configuration = startConfiguration();
        owned.ownership.start(registry.get());
        membership.get().start(client, loops);
        startTicks();
        this.callersServer = startCallersServer();
        this.administrationServer = startAdministrationServer();
    }

    /** Port on which callers are served. */
    public int callersPort() {
        return callersServer.port();
    }

    /** Port on which peers are served. */
    public int peersPort() {
        return peerServer.getPort();
    }

    /** Port on which operators are served. */
    public int administrationPort() {
        return administrationServer.port();
    }

    /**
     * Leaves without cutting a request: partitions are handed over as their calls end, requests
     * that still come are passed to their new owners, and the process ends when none is left.
     */
    public void drain() {
        if (!draining.compareAndSet(false, true)) {
            return;
        }
        log("drain_started");
        AtomicBoolean handedOver = new AtomicBoolean();
        long deadlineNs =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.limits().drainGraceMs());
        pauseMs(settings.limits().drainDelayMs());
        owned.ownership.drain(() -> handedOver.set(true));
        while (!handedOver.get() && !nothingToWaitFor() && System.nanoTime() < deadlineNs) {
            pauseMs(DRAIN_LOOK_MS);
        }
        LOG.atInfo()
                .addKeyValue("event", "partitions_handed_over")
                .addKeyValue("all", handedOver.get())
                .log();
        long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
        callersServer.drain(Math.max(0, leftMs));
        close();
        log("drain_ended");
    }

    /** Whether no call is under way and no other node could take a partition over. */
    private boolean nothingToWaitFor() {
        String own = settings.node().name();
        boolean taker =
                owned.session.leaseValidAt(System.nanoTime())
                        && owned.ownership.sessions().values().stream()
                                .anyMatch(node -> !node.node().equals(own) && !node.draining());
        return !taker && callersServer.requestsInFlight() == 0 && waiters.size() == 0;
    }

    @Override
    public void close() {
        closing.set(true);
        membership.get().close();
        callersServer.close();
        administrationServer.close();
        configuration.close();
        engines.get().close();
        owned.ownership.close();
        peerServer.shutdown();
        try {
            peerServer.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        peerServer.shutdownNow();
        loops.close();
        channels.close();
        client.close();
        tracing.close();
        store.close();
    }

    private Server startPeerServer() throws IOException {
        HostPort address = HostPort.parse(settings.addresses().peers());
        PeerService.UnaryHandlers exchanges =
                new PeerService.UnaryHandlers(
                        request -> membership.get().answer(request),
                        request -> parts.get().copies.store(request),
                        request -> parts.get().copies.fetch(request),
                        request -> configurationExchange.get().fetch(request));
        return NettyServerBuilder.forAddress(new InetSocketAddress(address.host(), address.port()))
                .addService(new PeerService(registry::get, exchanges))
                .permitKeepAliveTime(1, TimeUnit.SECONDS)
                .permitKeepAliveWithoutCalls(true)
                .executor(loops.blocking)
                .build()
                .start();
    }

    private ConfigurationKeeper startConfiguration() {
        AtomicReference<ConfigurationKeeper> keeper = new AtomicReference<>();
        configurationExchange.set(
                new ConfigurationExchange(
                        owned.peers,
                        channels,
                        () -> keeper.get().snapshot(),
                        () -> keeper.get().current().revision()));
        Optional<ConfigurationFile> file =
                settings.dataFolder().map(folder -> new ConfigurationFile(Path.of(folder)));
        keeper.set(
                new ConfigurationKeeper(
                        store,
                        new ConfigurationReader(store),
                        file,
                        configurationExchange.get(),
                        ThreadLocalRandom.current()::nextDouble));
        parts.set(owned);
        keeper.get().addListener(dispatch::configurationChanged);
        keeper.get().addListener(registry.get()::onConfigurationChanged);
        keeper.get().addListener(membership.get()::configurationChanged);
        keeper.get().addListener(engines.get()::configurationChanged);
        keeper.get().start();
        return keeper.get();
    }

    private void observeGauges(AdminSources sources) {
        metrics.observe(
                DaemonMetrics.Gauge.PARTITIONS_OWNED,
                () -> registry.get().ownedPartitions().size());
        metrics.observe(
                DaemonMetrics.Gauge.CONFIGURATION_REVISION,
                () -> configuration.current().revision());
        metrics.observe(DaemonMetrics.Gauge.QUEUE_LENGTH, () -> sources.status().callsQueued());
        metrics.observe(
                DaemonMetrics.Gauge.CALLS_UNDER_WAY, () -> sources.status().callsUnderWay());
        metrics.observe(DaemonMetrics.Gauge.PROGRAMS_HELD, () -> sources.status().programsHeld());
    }

    private void startTicks() {
        loops.every(SCHEDULER_TICK_MS, () -> dispatch.toScheduler(new SchedulingEvent.Tick()));
        loops.every(PARTITION_TICK_MS, () -> registry.get().postAll(new ProgramEvent.Tick()));
        loops.every(JOURNAL_LOOK_MS, this::lookAtJournal);
    }

    private void lookAtJournal() {
        boolean now = owned.journal.degraded();
        if (degraded.getAndSet(now) != now) {
            LOG.atWarn()
                    .addKeyValue("event", "journal_degraded")
                    .addKeyValue("degraded", now)
                    .log();
            registry.get().postAll(new ProgramEvent.JournalDegraded(now));
        }
    }

    private HttpServer startCallersServer() throws IOException {
        RequestRouter router =
                new RequestRouter(
                        owned.ownership,
                        membership.get()::reachable,
                        new OwnerClient(settings.node().name(), registry.get(), channels, tracing),
                        System::nanoTime,
                        ThreadLocalRandom.current()::nextDouble,
                        Thread::sleep);
        CallersHandler handler =
                new CallersHandler(
                        configuration::current,
                        router,
                        new EntryHop(tracing, metrics, System::nanoTime),
                        loops.blocking,
                        () -> UUID.randomUUID().toString(),
                        program ->
                                owned.ownership
                                        .ownerOf(program.partition())
                                        .map(OwnerLocation::node)
                                        .orElse(""));
        HostPort address = HostPort.parse(settings.addresses().callers());
        return HttpServer.start(
                address.host(), address.port(), settings.limits().maxBodyBytes(), handler);
    }

    private HttpServer startAdministrationServer() throws IOException {
        ConfigurationPublisher publisher =
                new ConfigurationPublisher(
                        store,
                        new ConfigurationReader(store),
                        configuration::published,
                        Daemon::pauseMs);
        AdminSources sources =
                new AdminSources(
                        settings,
                        owned,
                        registry.get(),
                        dispatch,
                        configuration::current,
                        () -> notReadyReason().isEmpty(),
                        draining::get);
        observeGauges(sources);
        AdminHandler handler =
                new AdminHandler(
                        settings.administration().operatorKeySha256(),
                        this::notReadyReason,
                        metricsRegistry,
                        new ObjectsResource(
                                configuration::current,
                                publisher::publish,
                                () -> UUID.randomUUID().toString()),
                        sources,
                        sources,
                        sources);
        HostPort address = HostPort.parse(settings.addresses().administration());
        return HttpServer.start(
                address.host(), address.port(), settings.limits().maxBodyBytes(), handler);
    }

    private long configurationRevision() {
        return configuration == null ? 0 : configuration.current().revision();
    }

    private Optional<String> notReadyReason() {
        if (draining.get()) {
            return Optional.of("leaving");
        }
        return configuration.current().revision() == 0
                ? Optional.of("no configuration yet")
                : Optional.empty();
    }

    private static void pauseMs(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Loops that are shut down refuse tasks; that is no broken invariant. */
    private void stopOnBrokenInvariant(RuntimeException broken) {
        if (closing.get() && broken instanceof RejectedExecutionException) {
            return;
        }
        LOG.atError().addKeyValue("event", "invariant_broken").setCause(broken).log();
        Runtime.getRuntime().halt(70);
    }

    private static void log(String event) {
        LOG.atInfo().addKeyValue("event", event).log();
    }
}
