package org.skylarkmast.relay.node;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.relay.forward.Forwarder;
import org.skylarkmast.relay.forward.PeerRelay;
import org.skylarkmast.relay.forward.RequestLog;
import org.skylarkmast.relay.forward.RunnerContact;
import org.skylarkmast.relay.forward.WireDialect;
import org.skylarkmast.relay.http.RunnerConnectionPool;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.skylarkmast.relay.limit.SendAdmission;
import org.skylarkmast.relay.loadreport.LoadReporter;
import org.skylarkmast.relay.mirror.KeyRange;
import org.skylarkmast.relay.mirror.MirrorClient;
import org.skylarkmast.relay.mirror.StoreMirror;
import org.skylarkmast.relay.peer.PeerDirectory;
import org.skylarkmast.relay.peer.RunnerReachability;
import org.skylarkmast.relay.quarantine.Quarantine;
import org.skylarkmast.relay.route.RoutingState;
import org.skylarkmast.relay.runner.RunnerChooser;
import org.skylarkmast.relay.runner.RunnerDirectory;
import org.skylarkmast.relay.runner.RunnerPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The entry node: accepts requests from callers and forwards them to runners. */
public final class EntryNode implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EntryNode.class);

    private static final int STORAGE_NODE_CONNECT_TIMEOUT_MS = 300;
    private static final int STORAGE_NODE_IDLE_CONNECTIONS = 16;
    private static final long SWEEP_MS = 300;

    /**
     * Longest wait of a reservation for concurrent ones of its program; a withdrawal takes a few
     * milliseconds, and a request that is rejected should be soon.
     */
    private static final long CONTENTION_WAIT_MS = 30;

    private static final long DRAIN_POLL_MS = 20;

    /** Pause between checks of the contact with runners; without suspicion one costs nothing. */
    private static final long REACHABILITY_CHECK_MS = 100;

    /** Longest wait of a shutdown for settlements; a storage node takes one in milliseconds. */
    private static final long SETTLEMENT_WAIT_MS = 200;

    /** Pause between load reports; faults of runners last for seconds. */
    private static final long REPORT_MS = 1000;

    /**
     * Pause between load reports after a crash of a runner: callers repeat a request that ended a
     * runner within some hundred ms, at another entry node.
     */
    private static final long REPORT_AFTER_CRASH_MS = 250;

    private final RelaySettings settings;
    private final RoutingState routing = new RoutingState();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
    private final CurrentView views;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final RunnerDirectory directory = new RunnerDirectory(System::nanoTime, registry);
    private final RunnerConnectionPool runnerConnections = new RunnerConnectionPool();
    private final RunnerConnectionPool peerConnections = new RunnerConnectionPool();
    private final PeerDirectory peers = new PeerDirectory();
    private final Quarantine quarantine =
            new Quarantine(System::nanoTime, ThreadLocalRandom.current().nextLong());
    private final RunnerReachability reachability;
    private final CallerServer callerServer;
    private final CallerServer peerServer;
    private final LedgerClient ledger;
    private final RequestLog requestLog = new RequestLog(registry);
    private final AtomicInteger entryNodeCount = new AtomicInteger();
    private final DrainTimeline drainTimeline;
    private final Forwarder forwarder;
    private final HttpClient storageNodeConnections =
            new HttpClient(STORAGE_NODE_IDLE_CONNECTIONS, STORAGE_NODE_CONNECT_TIMEOUT_MS);
    private final HttpServer metricsServer;
    private final HttpServer readinessServer;
    private final KeyCurrency keyCurrency;
    private volatile MirrorClient mirrorClient;
    private volatile Runnable endCurrencyReads = () -> {};

    /**
     * Starts the node; it accepts connections once {@link #startAccepting} is called.
     *
     * @throws IOException if an address cannot be bound
     */
    public EntryNode(RelaySettings settings, WireDialect dialect) throws IOException {
        this.settings = settings;
        this.keyCurrency = KeyCurrency.onSystemClocks(settings.workspaces(), routing);
        this.drainTimeline = new DrainTimeline(settings.graceMs(), System::nanoTime);
        // Bound first: callers that connect during the rest of the start wait about 100 ms and are
        // then served instead of refused.
        ServerSocket listener = CallerServer.bind(settings.callersAddress());
        ServerSocket peerListener =
                CallerServer.bind(settings.ip() + ":" + settings.internalPort());
        AtomicReference<Runnable> reportNow = new AtomicReference<>();
        views = new CurrentView(view -> onNewView(reportNow.get()));
        StorageNodeClient storageNodes =
                new StorageNodeClient(
                        storageNodeConnections,
                        views::offer,
                        member -> ledgerClient().recordOtherProcess(member));
        ledger = createLedger(storageNodes);
        IntakeBounds bounds = IntakeBounds.of(settings.hostLimits());
        SendAdmission admission = limits(storageNodes).sendAdmission();
        RunnerPool pool = createPool(admission);
        RunnerContact contact = new RunnerContact(System::nanoTime, registry);
        reachability = createReachability(contact, () -> executor.execute(reportNow.get()));
        forwarder =
                new Forwarder(
                        routing,
                        keyCurrency.createAdmission(dialect, registry),
                        pool,
                        runnerConnections,
                        admission,
                        contact,
                        quarantine,
                        RunnerProbe.crashDetector(pool, directory, contact, executor, registry),
                        () -> executor.execute(reportNow.get()),
                        createPeerRelay(pool, dialect),
                        dialect,
                        ledger,
                        requestLog,
                        drainTimeline::admits,
                        executor,
                        timers,
                        () -> ThreadLocalRandom.current().nextDouble(),
                        limits(storageNodes).quotaAdmission());
        callerServer = ForwardedRequests.ofCallers(listener, forwarder, routing, bounds, timers);
        peerServer = ForwardedRequests.ofPeers(peerListener, forwarder, bounds, timers);
        reportNow.set(LoggedTask.of("report_failed", createReporter(pool, admission)::report));
        startPeriodicTasks(pool, admission, reportNow.get());
        registerGauges(admission, pool);
        IntakeGauges.register(registry, callerServer, peerServer);
        metricsServer = NodeEndpoints.start(settings, bounds, registry);
        readinessServer = NodeEndpoints.startReadiness(settings, bounds, this::ready);
        logStart();
    }

    private void logStart() {
        LOG.atInfo()
                .addKeyValue("event", "entry_node_started")
                .addKeyValue("settings", settings)
                .log();
    }

    private void registerGauges(SendAdmission admission, RunnerPool pool) {
        new EntryNodeGauges(callerServer, runnerConnections, admission, pool, ledger, quarantine)
                .register(registry);
        MirrorGauges.register(registry, routing);
    }

    private LedgerClient ledgerClient() {
        return ledger;
    }

    /**
     * A new view may contain storage nodes that have never been probed, and a node that has just
     * started needs what the others know of runners before its first sends.
     */
    private void onNewView(Runnable report) {
        executor.execute(ledger::probe);
        executor.execute(report);
    }

    /** Returns where this node takes requests of other entry nodes, empty while it takes none. */
    private String peerAddress() {
        return ready() && !reachability.isCutOff() ? settings.ip() + ":" + peerServer.port() : "";
    }

    private RunnerReachability createReachability(RunnerContact contact, Runnable onChange) {
        return new RunnerReachability(
                directory::all,
                contact::suggestsCutOff,
                runner -> RunnerProbe.accepts(runner, contact),
                onChange,
                executor,
                System::nanoTime,
                new Random(),
                registry);
    }

    private LedgerClient createLedger(StorageNodeClient storageNodes) {
        return new LedgerClient(
                views, storageNodes, networkOf(settings.ip()), executor, CONTENTION_WAIT_MS);
    }

    private PeerRelay createPeerRelay(RunnerPool pool, WireDialect dialect) {
        return new PeerRelay(
                reachability, peers, pool, peerConnections, dialect, timers, System::nanoTime);
    }

    private LoadReporter createReporter(RunnerPool pool, SendAdmission admission) {
        return new LoadReporter(
                settings.node() + "/" + System.nanoTime(),
                pool,
                admission.limits(),
                quarantine,
                peers,
                this::peerAddress,
                ledger,
                entryNodeCount::set);
    }

    private RunnerPool createPool(SendAdmission admission) {
        RunnerChooser chooser =
                new RunnerChooser(
                        settings.failureDomain(), () -> ThreadLocalRandom.current().nextDouble());
        return new RunnerPool(directory, chooser, admission::expectedWaitMs, System::nanoTime);
    }

    private LimitFactory limits(StorageNodeClient storageNodes) {
        return new LimitFactory(
                settings, views::current, storageNodes, entryNodeCount::get, executor, registry);
    }

    private void startPeriodicTasks(RunnerPool pool, SendAdmission admission, Runnable report) {
        Runnable housekeeping =
                LoggedTask.of(
                        "housekeeping_failed",
                        () -> {
                            ledger.probe();
                            runnerConnections.evictUnusable(directory::isRegistered);
                            peerConnections.evictUnusable(process -> true);
                            pool.removeUnregistered();
                            directory.expireLeaving();
                            admission.retain(directory::isRegistered);
                            quarantine.expire();
                        });
        Runnable check = LoggedTask.of("reachability_check_failed", this::checkReachability);
        schedule(housekeeping, SWEEP_MS);
        schedule(() -> executor.execute(report), REPORT_MS);
        Runnable reportAfterCrash =
                () -> {
                    if (quarantine.hasRecentCrash()) {
                        executor.execute(report);
                    }
                };
        schedule(reportAfterCrash, REPORT_AFTER_CRASH_MS);
        schedule(() -> executor.execute(check), REACHABILITY_CHECK_MS);
    }

    private void schedule(Runnable task, long pauseMs) {
        var _ =
                timers.scheduleWithFixedDelay(
                        LoggedTask.of("timer_failed", task),
                        pauseMs,
                        pauseMs,
                        TimeUnit.MILLISECONDS);
    }

    private void checkReachability() {
        try {
            reachability.check();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Starts mirroring {@code keys} of the key-value service; {@code listener} receives changes.
     *
     * @param configurationKey key of the configuration
     */
    public void startMirror(
            KeyValueStore store,
            KeyRange keys,
            String configurationKey,
            StoreMirror.Listener listener) {
        StoreMirror mirror = new StoreMirror(listener, System::nanoTime);
        endCurrencyReads = keyCurrency.startOnEntryNode(store, configurationKey, mirror);
        MirrorClient client =
                new MirrorClient(
                        store, keys, mirror, ledger, keyCurrency.proof(), configurationKey);
        mirrorClient = client;
        keyCurrency.register(registry);
        MirrorGauges.register(registry, mirror, client::proofAgeSeconds);
    }

    /**
     * Starts accepting connections from callers and other entry nodes. Whatever ends the process
     * must lead to {@link #drain} from then on.
     */
    public void startAccepting() {
        callerServer.start();
        peerServer.start();
    }

    /** Returns the routing state, which receives configurations. */
    public RoutingState routing() {
        return routing;
    }

    /** Returns the directory, which receives registrations of runners. */
    public RunnerDirectory directory() {
        return directory;
    }

    /** Returns the holder of the current view, which receives new views of storage nodes. */
    public CurrentView views() {
        return views;
    }

    /** Returns the port on which callers connect. */
    public int callersPort() {
        return callerServer.port();
    }

    /** Returns the port on which other entry nodes connect. */
    public int peersPort() {
        return peerServer.port();
    }

    /** Stops accepting connections from callers and other entry nodes. */
    private void stopAccepting() {
        callerServer.close();
        peerServer.close();
    }

    /**
     * Ends the node at once, for processes that run several: its connections are cut, requests in
     * progress included, and its threads and listeners end. {@link #drain} ends it in order.
     */
    @Override
    public void close() {
        stopAccepting();
        if (mirrorClient != null) {
            mirrorClient.close();
        }
        endCurrencyReads.run();
        timers.shutdownNow();
        callerServer.abortConnections();
        peerServer.abortConnections();
        executor.shutdownNow();
        readinessServer.close();
        metricsServer.close();
        runnerConnections.close();
        peerConnections.close();
        storageNodeConnections.close();
    }

    /**
     * Whether the node can serve new callers: it has a configuration, reaches the ledger, reaches
     * runners or knows an entry node that does, and is not draining.
     */
    public boolean ready() {
        boolean servesRequests = !reachability.isCutOff() || !peers.isEmpty();
        return !drainTimeline.hasStarted()
                && routing.current() != null
                && ledger.reachable()
                && servesRequests;
    }

    /**
     * Reports the node as not ready and completes the requests in progress.
     *
     * <p>Open connections are served, but each response closes its connection. Once the load
     * balancer has had time to notice, the node stops accepting connections, closes idle ones and
     * waits for the requests in progress, at most for the grace period less its unused fraction. A
     * request that arrives on an open connection meanwhile is rejected as not run if its time limit
     * is longer than the rest of that time; a connection whose answer began before the shutdown
     * closes after it. Requests that outlast that time are answered as if their deadlines had
     * passed.
     */
    public void drain() {
        LOG.atInfo().addKeyValue("event", "drain_started").log();
        drainTimeline.start();
        callerServer.drain();
        peerServer.drain();
        try {
            while (drainTimeline.isAccepting()) {
                Thread.sleep(DRAIN_POLL_MS);
            }
            stopAccepting();
            LOG.atInfo()
                    .addKeyValue("event", "drain_closing")
                    .addKeyValue("openConnections", openConnections())
                    .log();
            awaitClosedConnections(drainTimeline::isServing);
            forwarder.expireAll();
            awaitClosedConnections(() -> !drainTimeline.hasEnded());
            ledger.awaitSettlements(SETTLEMENT_WAIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.atInfo()
                .addKeyValue("event", "drain_ended")
                .addKeyValue("openConnections", openConnections())
                .addKeyValue("settlementsLeft", ledger.outstandingSettlements())
                .addKeyValue("requestsCutOff", requestLog.logUnfinished())
                .addKeyValue("tookMs", drainTimeline.elapsedMs())
                .log();
    }

    private void awaitClosedConnections(BooleanSupplier hasTime) throws InterruptedException {
        while (openConnections() > 0 && hasTime.getAsBoolean()) {
            callerServer.closeIdle();
            peerServer.closeIdle();
            Thread.sleep(DRAIN_POLL_MS);
        }
    }

    /** Returns the number of open connections of callers and other entry nodes. */
    public int openConnections() {
        return callerServer.connectionCount() + peerServer.connectionCount();
    }

    /**
     * Returns the address prefix of the failure domain: its hosts share the first two numbers of
     * their addresses.
     */
    private static String networkOf(String ip) {
        int second = ip.indexOf('.', ip.indexOf('.') + 1);
        return ip.substring(0, second + 1);
    }
}
