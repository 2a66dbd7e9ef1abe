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
import org.skylarkmast.daemon.configuration.ConfigurationPublisher;
import org.skylarkmast.daemon.configuration.ConfigurationReader;
import org.skylarkmast.daemon.configuration.ConfigurationSynchronizer;
import org.skylarkmast.daemon.dispatch.CallDispatcher;
import org.skylarkmast.daemon.entry.CallerHttpHandler;
import org.skylarkmast.daemon.entry.RequestInstrumentation;
import org.skylarkmast.daemon.entry.RequestRouter;
import org.skylarkmast.daemon.partition.PartitionRegistry;
import org.skylarkmast.daemon.partition.WaiterTable;
import org.skylarkmast.daemon.peer.ConfigurationExchange;
import org.skylarkmast.daemon.peer.PeerChannels;
import org.skylarkmast.daemon.peer.PeerService;
import org.skylarkmast.daemon.peer.RoutingOwnerClient;
import org.skylarkmast.daemon.settings.Settings;
import org.skylarkmast.daemon.telemetry.DaemonMetrics;
import org.skylarkmast.daemon.telemetry.MeteredJournal;
import org.skylarkmast.daemon.telemetry.MeteredStore;
import org.skylarkmast.daemon.telemetry.Tracing;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A daemon: creates and connects its components and controls their life cycle. */
public final class Daemon implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    private static final long SCHEDULER_TICK_MS = 100;
    private static final long PARTITION_TICK_MS = 1_000;
    private static final long JOURNAL_POLL_INTERVAL_MS = 100;
    private static final long DRAIN_POLL_INTERVAL_MS = 50;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_IDLE_CONNECTIONS = 64;

    private final Settings settings;
    private final PrometheusRegistry metricsRegistry = new PrometheusRegistry();
    private final DaemonMetrics metrics = new DaemonMetrics(metricsRegistry);
    private final Tracing tracing;
    private final KeyValueStore store;
    private final DaemonExecutors executors;
    private final WaiterTable waiters = new WaiterTable();
    private final PeerChannels channels = new PeerChannels();
    private final HttpClient client = new HttpClient(MAX_IDLE_CONNECTIONS, CONNECT_TIMEOUT_MS);
    private final AtomicReference<PartitionRegistry> registry = new AtomicReference<>();
    private final AtomicReference<ConfigurationExchange> configurationExchange =
            new AtomicReference<>();
    private final AtomicReference<OwnershipComponents> ownershipReference = new AtomicReference<>();
    private final AtomicReference<MembershipCoordinator> membership = new AtomicReference<>();
    private final AtomicReference<EngineCoordinator> engines = new AtomicReference<>();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final AtomicBoolean degraded = new AtomicBoolean();
    private final AtomicBoolean closing = new AtomicBoolean();
    private final Server peerServer;
    private final OwnershipComponents ownership;
    private final CallDispatcher dispatch;
    private final ConfigurationSynchronizer configuration;
    private final HttpServer callersServer;
    private final HttpServer administrationServer;

    /**
     * Builds and starts a daemon.
     *
     * @throws IOException if one of its addresses cannot be bound
     */
    public Daemon(Settings settings, KeyValueStore unmeteredStore) throws IOException {
        this.settings = settings;
        this.store = new MeteredStore(unmeteredStore, metrics);
        this.tracing =
                new Tracing(
                        settings.node().name(),
                        settings.telemetry().traceFile().map(Path::of),
                        settings.telemetry().otlpEndpoint());
        this.executors = new DaemonExecutors(this::stopOnBrokenInvariant);
        this.peerServer = startPeerServer();
        HostPort peers = HostPort.parse(settings.addresses().peers());
        String peerAddress =
                settings.advertisedPeerAddress()
                        .orElse(new HostPort(peers.host(), peerServer.getPort()).toString());
        this.ownership = new OwnershipComponents(settings, peerAddress, store, channels, executors);
        this.dispatch =
                new CallDispatcher(
                        new CallScheduler(SchedulerSettings.defaults(), new Random()::nextDouble),
                        executors.scheduler,
                        executors.blocking,
                        ownership.service,
                        System::nanoTime,
                        client,
                        (callId, event) -> registry.get().post(callId, event),
                        release -> engines.get().release(release),
                        tracing,
                        metrics);
        registry.set(
                new PartitionRegistry(
                        executors.partitionExecutors(),
                        new MeteredJournal(ownership.journal, metrics, System::nanoTime),
                        dispatch,
                        waiters,
                        System::nanoTime,
                        Configuration.EMPTY));
        membership.set(
                new MembershipCoordinator(
                        settings,
                        ownership,
                        channels,
                        dispatch,
                        executors,
                        draining::get,
                        this::configurationRevision));
        engines.set(
                new EngineCoordinator(
                        client, ownership.service, registry.get(), dispatch, executors));
        this.configuration = startConfiguration();
        ownership.service.start(registry.get());
        membership.get().start(client, executors);
        startTimers();
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
     * Shuts down gracefully: hands each partition over when its calls have ended, forwards requests
     * that still arrive to the new owners, and closes the daemon when no request is in flight or
     * the grace period is over.
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
        ownership.service.drain(() -> handedOver.set(true));
        while (!handedOver.get() && !idleWithoutSuccessor() && System.nanoTime() < deadlineNs) {
            pauseMs(DRAIN_POLL_INTERVAL_MS);
        }
        LOG.atInfo()
                .addKeyValue("event", "partitions_handed_over")
                .addKeyValue("all", handedOver.get())
                .log();
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
        callersServer.drain(Math.max(0, remainingMs));
        close();
        log("drain_ended");
    }

    /** Whether no call is in flight and no other node could take a partition over. */
    private boolean idleWithoutSuccessor() {
        String own = settings.node().name();
        boolean hasSuccessor =
                ownership.session.leaseValidAt(System.nanoTime())
                        && ownership.service.sessions().values().stream()
                                .anyMatch(node -> !node.node().equals(own) && !node.draining());
        return !hasSuccessor && callersServer.requestsInFlight() == 0 && waiters.size() == 0;
    }

    @Override
    public void close() {
        closing.set(true);
        membership.get().close();
        callersServer.close();
        administrationServer.close();
        configuration.close();
        engines.get().close();
        ownership.service.close();
        peerServer.shutdown();
        try {
            peerServer.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        peerServer.shutdownNow();
        executors.close();
        channels.close();
        client.close();
        tracing.close();
        store.close();
    }

    private Server startPeerServer() throws IOException {
        HostPort address = HostPort.parse(settings.addresses().peers());
        PeerService.UnaryHandlers exchanges =
                new PeerService.UnaryHandlers(
                        request -> membership.get().onHeartbeat(request),
                        request -> ownershipReference.get().copies.store(request),
                        request -> ownershipReference.get().copies.fetch(request),
                        request -> configurationExchange.get().fetch(request));
        return NettyServerBuilder.forAddress(new InetSocketAddress(address.host(), address.port()))
                .addService(new PeerService(registry::get, exchanges))
                .permitKeepAliveTime(1, TimeUnit.SECONDS)
                .permitKeepAliveWithoutCalls(true)
                .executor(executors.blocking)
                .build()
                .start();
    }

    private ConfigurationSynchronizer startConfiguration() {
        AtomicReference<ConfigurationSynchronizer> reference = new AtomicReference<>();
        configurationExchange.set(
                new ConfigurationExchange(
                        ownership.peers,
                        channels,
                        () -> reference.get().snapshot(),
                        () -> reference.get().current().revision()));
        Optional<ConfigurationFile> file =
                settings.dataFolder().map(folder -> new ConfigurationFile(Path.of(folder)));
        reference.set(
                new ConfigurationSynchronizer(
                        store,
                        new ConfigurationReader(store),
                        file,
                        configurationExchange.get(),
                        ThreadLocalRandom.current()::nextDouble));
        ownershipReference.set(ownership);
        reference.get().addListener(dispatch::onConfigurationChanged);
        reference.get().addListener(registry.get()::onConfigurationChanged);
        reference.get().addListener(membership.get()::onConfigurationChanged);
        reference.get().addListener(engines.get()::onConfigurationChanged);
        reference.get().start();
        return reference.get();
    }

    private void observeGauges(AdminDataSource sources) {
        metrics.registerGauge(
                DaemonMetrics.Gauge.PARTITIONS_OWNED,
                () -> registry.get().ownedPartitions().size());
        metrics.registerGauge(
                DaemonMetrics.Gauge.CONFIGURATION_REVISION,
                () -> configuration.current().revision());
        metrics.registerGauge(
                DaemonMetrics.Gauge.QUEUE_LENGTH, () -> sources.status().callsQueued());
        metrics.registerGauge(
                DaemonMetrics.Gauge.CALLS_UNDER_WAY, () -> sources.status().callsUnderWay());
        metrics.registerGauge(
                DaemonMetrics.Gauge.PROGRAMS_HELD, () -> sources.status().programsHeld());
    }

    private void startTimers() {
        executors.schedule(
                SCHEDULER_TICK_MS, () -> dispatch.notifyScheduler(new SchedulingEvent.Tick()));
        executors.schedule(
                PARTITION_TICK_MS, () -> registry.get().postAll(new ProgramEvent.Tick()));
        executors.schedule(JOURNAL_POLL_INTERVAL_MS, this::checkJournalState);
    }

    private void checkJournalState() {
        boolean degradedNow = ownership.journal.degraded();
        if (degraded.getAndSet(degradedNow) != degradedNow) {
            LOG.atWarn()
                    .addKeyValue("event", "journal_degraded")
                    .addKeyValue("degraded", degradedNow)
                    .log();
            registry.get().postAll(new ProgramEvent.JournalDegraded(degradedNow));
        }
    }

    private HttpServer startCallersServer() throws IOException {
        RequestRouter router =
                new RequestRouter(
                        ownership.service,
                        membership.get()::reachable,
                        new RoutingOwnerClient(
                                settings.node().name(), registry.get(), channels, tracing),
                        System::nanoTime,
                        ThreadLocalRandom.current()::nextDouble,
                        Thread::sleep);
        CallerHttpHandler handler =
                new CallerHttpHandler(
                        configuration::current,
                        router,
                        new RequestInstrumentation(tracing, metrics, System::nanoTime),
                        executors.blocking,
                        () -> UUID.randomUUID().toString(),
                        program ->
                                ownership
                                        .service
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
                        configuration::onPublished,
                        Daemon::pauseMs);
        AdminDataSource sources =
                new AdminDataSource(
                        settings,
                        ownership,
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

    /** Halts the process; a task that an event loop rejects during close breaks no invariant. */
    private void stopOnBrokenInvariant(RuntimeException failure) {
        if (closing.get() && failure instanceof RejectedExecutionException) {
            return;
        }
        LOG.atError().addKeyValue("event", "invariant_broken").setCause(failure).log();
        Runtime.getRuntime().halt(70);
    }

    private static void log(String event) {
        LOG.atInfo().addKeyValue("event", event).log();
    }
}
