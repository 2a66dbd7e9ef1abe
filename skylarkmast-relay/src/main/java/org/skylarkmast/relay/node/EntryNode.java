package org.skylarkmast.relay.node;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.relay.forward.Forwarder;
import org.skylarkmast.relay.forward.RequestLog;
import org.skylarkmast.relay.forward.WireDialect;
import org.skylarkmast.relay.http.RunnerConnections;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.skylarkmast.relay.loadreport.LoadReporter;
import org.skylarkmast.relay.mirror.KeyRange;
import org.skylarkmast.relay.mirror.MirrorClient;
import org.skylarkmast.relay.mirror.StoreMirror;
import org.skylarkmast.relay.route.RoutingState;
import org.skylarkmast.relay.runner.RunnerChooser;
import org.skylarkmast.relay.runner.RunnerDirectory;
import org.skylarkmast.relay.runner.RunnerPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The entry node: takes callers' requests and forwards them. */
public final class EntryNode implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EntryNode.class);

    private static final int STORAGE_NODE_CONNECT_TIMEOUT_MS = 300;
    private static final int STORAGE_NODE_IDLE_CONNECTIONS = 16;
    private static final long SWEEP_MS = 300;
    private static final long DRAIN_POLL_MS = 20;

    /** Pause between reports of what was seen of runners; faults there last for seconds. */
    private static final long REPORT_MS = 1000;

    /** Part of the grace period that is left unused, so that the process ends by itself. */
    private static final double UNUSED_GRACE = 1.0 / 6;

    /** Time for the balancer to notice that the node is not ready. */
    private static final long NOTICE_MS = 2500;

    private final RelaySettings settings;
    private final RoutingState routing = new RoutingState();
    private final RunnerDirectory directory = new RunnerDirectory();
    private final CurrentView views;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final CallerServer callers;
    private final LedgerClient ledger;
    private volatile boolean draining;

    /**
     * Starts the node.
     *
     * @throws IOException if an address cannot be bound
     */
    public EntryNode(RelaySettings settings, WireDialect dialect) throws IOException {
        this.settings = settings;
        // Bound first: callers that come while the rest starts wait some 100 ms and are served.
        ServerSocket listener = CallerServer.bind(settings.callersAddress());
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
        ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
        RunnerConnections connections = new RunnerConnections();
        RunnerPool pool =
                new RunnerPool(
                        directory,
                        new RunnerChooser(
                                settings.failureDomain(),
                                () -> ThreadLocalRandom.current().nextDouble()),
                        System::nanoTime);
        AtomicReference<LedgerClient> probed = new AtomicReference<>();
        // A new view may hold storage nodes that were never asked.
        views = new CurrentView(view -> executor.execute(() -> probed.get().probe()));
        StorageNodeClient storageNodes =
                new StorageNodeClient(
                        new HttpClient(
                                STORAGE_NODE_IDLE_CONNECTIONS, STORAGE_NODE_CONNECT_TIMEOUT_MS),
                        views::offer);
        ledger = new LedgerClient(views, storageNodes, networkOf(settings.ip()), executor);
        probed.set(ledger);
        Forwarder forwarder =
                new Forwarder(
                        routing,
                        pool,
                        connections,
                        dialect,
                        ledger,
                        new RequestLog(registry),
                        executor,
                        timers,
                        () -> ThreadLocalRandom.current().nextDouble());
        callers = new CallerServer(listener, forwarder, routing, timers);
        startRounds(connections, pool, executor, timers);
        gauge(
                "skylarkmast_caller_connections",
                "Open connections of callers.",
                callers::connections);
        gauge(
                "skylarkmast_runner_connections_opened",
                "Connections opened to runners.",
                connections::opened);
        NodeEndpoints.start(settings.ip(), settings.metricsPort(), registry);
        startReadiness(settings.readinessAddress());
        LOG.atInfo()
                .addKeyValue("event", "entry_node_started")
                .addKeyValue("settings", settings)
                .log();
    }

    private void startRounds(
            RunnerConnections connections,
            RunnerPool pool,
            ExecutorService executor,
            ScheduledExecutorService timers) {
        Runnable keepHouse =
                logged(
                        "housekeeping_failed",
                        () -> {
                            ledger.probe();
                            connections.sweep(directory::isRegistered);
                            pool.removeUnregistered();
                        });
        LoadReporter reporter =
                new LoadReporter(settings.node() + "/" + System.nanoTime(), pool, ledger);
        Runnable report = logged("report_failed", reporter::report);
        var _ = timers.scheduleWithFixedDelay(keepHouse, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        var _ =
                timers.scheduleWithFixedDelay(
                        () -> executor.execute(report),
                        REPORT_MS,
                        REPORT_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** A failure is logged here, as executors would drop it without a word. */
    private static Runnable logged(String failureEvent, Runnable round) {
        return () -> {
            try {
                round.run();
            } catch (RuntimeException e) {
                LOG.atError().addKeyValue("event", failureEvent).setCause(e).log();
            }
        };
    }

    private void startReadiness(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        var _ =
                HttpServer.start(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)),
                        0,
                        call ->
                                ready()
                                        ? HttpReply.text(200, "ready\n")
                                        : HttpReply.text(503, "not ready\n"));
    }

    /** Starts to follow the key-value service, as {@code feed} understands what lies there. */
    public void follow(KeyValueStore store, KeyRange keys, StoreMirror.Listener feed) {
        StoreMirror mirror = new StoreMirror(feed, System::nanoTime);
        // Lives as long as the process.
        var _ = new MirrorClient(store, keys, mirror, ledger);
    }

    /** Where configurations go. */
    public RoutingState routing() {
        return routing;
    }

    /** Where registrations of runners go. */
    public RunnerDirectory directory() {
        return directory;
    }

    /** Where views of storage nodes go. */
    public CurrentView views() {
        return views;
    }

    /** The port callers reach. */
    public int callersPort() {
        return callers.port();
    }

    /** Stops to accept callers. */
    @Override
    public void close() {
        callers.close();
    }

    /** Whether new callers may come: it has what it needs and is not about to end. */
    public boolean ready() {
        return !draining && routing.current() != null && ledger.reachable();
    }

    /**
     * Lets callers go elsewhere and ends what is under way.
     *
     * <p>Open connections are served; each answer closes its connection. Once the balancer has
     * noticed, idle ones are closed and the node waits for what is under way.
     */
    public void drain() {
        LOG.atInfo().addKeyValue("event", "drain_started").log();
        long startedNs = System.nanoTime();
        draining = true;
        callers.drain();
        long mostMs = (long) (settings.graceMs() * (1 - UNUSED_GRACE));
        try {
            while (sinceMs(startedNs) < Math.min(NOTICE_MS, mostMs)) {
                Thread.sleep(DRAIN_POLL_MS);
            }
            callers.close();
            while (callers.connections() > 0 && sinceMs(startedNs) < mostMs) {
                callers.closeIdle();
                Thread.sleep(DRAIN_POLL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.atInfo()
                .addKeyValue("event", "drain_ended")
                .addKeyValue("openConnections", callers.connections())
                .addKeyValue("tookMs", sinceMs(startedNs))
                .log();
    }

    private static long sinceMs(long startedNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
    }

    private void gauge(String name, String help, java.util.function.LongSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call((double) value.getAsLong()))
                .register(registry);
    }

    /** Hosts of one failure domain share the first two numbers of their addresses. */
    private static String networkOf(String ip) {
        int second = ip.indexOf('.', ip.indexOf('.') + 1);
        return ip.substring(0, second + 1);
    }
}
