package org.skylarkmast.relay.node;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.skylarkmast.relay.limit.AllowanceGranter;
import org.skylarkmast.relay.limit.LeaseRelay;
import org.skylarkmast.relay.limit.SendRateLimiter;
import org.skylarkmast.relay.loadreport.LoadReportAggregator;
import org.skylarkmast.relay.loadreport.LoadReportExchange;
import org.skylarkmast.relay.mirror.KeyRange;
import org.skylarkmast.relay.mirror.MirrorExchange;
import org.skylarkmast.relay.mirror.StoreFollower;
import org.skylarkmast.relay.mirror.StoreMirror;
import org.skylarkmast.relay.route.RoutingState;
import org.skylarkmast.relay.storage.DiskSync;
import org.skylarkmast.relay.storage.QuorumMembership;
import org.skylarkmast.relay.storage.RecordIndex;
import org.skylarkmast.relay.storage.SteadyTimeOfDay;
import org.skylarkmast.relay.storage.StorageNodeHandler;
import org.skylarkmast.relay.storage.StorageNodeRegistry;
import org.skylarkmast.relay.storage.ViewCoordinator;
import org.skylarkmast.relay.storage.ViewStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The storage node: stores turns and token usage on its disk. */
public final class StorageNode {
    private static final Logger LOG = LoggerFactory.getLogger(StorageNode.class);

    private static final int PEER_CONNECT_TIMEOUT_MS = 300;
    private static final int PEER_IDLE_CONNECTIONS = 4;
    private static final int MAX_BODY_BYTES = 16 << 20;

    /** Longest pause between rounds of the coordinator, and pause between exchanges. */
    private static final long ROUND_MS = 500;

    /** Rounds of the coordinator between removals of expired records. */
    private static final int ROUNDS_PER_EXPIRY = 10;

    /**
     * Sends to a runner that may precede the times that its rate limit sets; without any, half of
     * the limit would be unused at random arrivals.
     */
    private static final int SEND_BURST_REQUESTS = 2;

    private final Semaphore wakeUps = new Semaphore(0);
    private final CurrentView views;
    private final LoadReportAggregator loadReports =
            new LoadReportAggregator(System::nanoTime, new Random());
    private final RecordIndex index;
    private final QuorumMembership membership;
    private final LedgerView.Member self;
    private final RelaySettings settings;
    private final StorageNodeClient storageNodes;
    private final MirrorExchange mirror;

    /**
     * Opens the records on disk, starts following the key-value service and starts answering calls.
     *
     * @param keys the keys to follow
     * @param configurationKey key of the configuration
     * @param routing the configuration in force, which the listener updates
     * @param listenerFactory creates the listener for the content of the key-value service, which
     *     offers new views to the given holder
     * @throws IOException if the disk cannot be read or an address cannot be bound
     */
    public StorageNode(
            RelaySettings settings,
            KeyValueStore store,
            KeyRange keys,
            String configurationKey,
            RoutingState routing,
            Function<CurrentView, StoreMirror.Listener> listenerFactory)
            throws IOException {
        this.settings = settings;
        Path dataFolder = settings.dataFolder();
        ViewStore viewStore = new ViewStore(dataFolder, DiskSync.FILE_DATA);
        views = new CurrentView(viewStore::storeView, view -> wakeUps.release());
        views.offer(viewStore.latest());
        StoreMirror content = new StoreMirror(listenerFactory.apply(views), System::nanoTime);
        self =
                new LedgerView.Member(
                        settings.node(), settings.ip() + ":" + settings.internalPort());
        index =
                new RecordIndex(
                        dataFolder.resolve("records"),
                        new SteadyTimeOfDay(System::currentTimeMillis, System::nanoTime),
                        DiskSync.FILE_DATA);
        membership = new QuorumMembership(self, viewStore, views);
        storageNodes =
                new StorageNodeClient(
                        new HttpClient(PEER_IDLE_CONNECTIONS, PEER_CONNECT_TIMEOUT_MS),
                        views::offer);
        StoreFollower follower = new StoreFollower(store, keys.from(), keys.to(), content);
        KeyCurrency keyCurrency = KeyCurrency.onSystemClocks(settings.workspaces(), routing);
        var _ = keyCurrency.startOnStorageNode(store, configurationKey, content);
        mirror =
                new MirrorExchange(content, storageNodes, follower::connected, keyCurrency.proof());
        PrometheusRegistry registry = new PrometheusRegistry();
        registerGauges(registry);
        keyCurrency.register(registry);
        MirrorGauges.register(
                registry,
                content,
                () -> Math.min(follower.proofAgeSeconds(), mirror.peerProofAgeSeconds()));
        IntakeBounds bounds = IntakeBounds.of(settings.hostLimits());
        NodeEndpoints.start(settings, bounds, registry);
        var _ =
                HttpServer.start(
                        settings.ip(),
                        settings.internalPort(),
                        MAX_BODY_BYTES,
                        bounds.storage(),
                        new StorageNodeHandler(
                                index,
                                membership,
                                views,
                                loadReports,
                                mirror,
                                new SendRateLimiter(System::nanoTime, SEND_BURST_REQUESTS, () -> 0),
                                new AllowanceGranter(
                                        System::nanoTime, settings.workspaces().tolerance()),
                                new LeaseRelay(storageNodes)));
        logStart();
    }

    private void logStart() {
        LOG.atInfo()
                .addKeyValue("event", "keeper_node_started")
                .addKeyValue("settings", settings)
                .addKeyValue("complete", membership.initialSyncDone())
                .addKeyValue("turns", index.turnCount())
                .log();
    }

    private void registerGauges(PrometheusRegistry registry) {
        GaugeWithCallback.builder()
                .name("skylarkmast_turns_held")
                .help("Turns on this keeper's disk.")
                .callback(callback -> callback.call(index.turnCount()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("skylarkmast_keeper_voting")
                .help("Whether this keeper takes part in quorums.")
                .callback(callback -> callback.call(membership.voting() ? 1 : 0))
                .register(registry);
    }

    /** Returns the name and address under which this storage node registers. */
    public LedgerView.Member self() {
        return self;
    }

    /** Returns the holder of the current view, which receives new views of storage nodes. */
    public CurrentView views() {
        return views;
    }

    /** Logs the end of the process. */
    public void logEnd() {
        LOG.atInfo()
                .addKeyValue("event", "keeper_node_ended")
                .addKeyValue("voting", membership.voting())
                .addKeyValue("turns", index.turnCount())
                .log();
    }

    /** Starts to take part in view changes and in the exchange with other storage nodes. */
    public void join(StorageNodeRegistry registry) {
        ViewCoordinator coordinator =
                new ViewCoordinator(
                        index,
                        membership,
                        views,
                        storageNodes,
                        registry,
                        settings.firstStart(),
                        settings.toleratedLosses() + 1,
                        System::nanoTime);
        Thread.ofVirtual().name("keeper-rounds").start(() -> runCoordinator(coordinator));
        Thread.ofVirtual().name("keeper-exchange").start(this::runExchanges);
    }

    /**
     * Fetches changes and load report totals from other storage nodes, on a thread of its own
     * because rounds of the coordinator may block on other storage nodes.
     */
    private void runExchanges() {
        LoadReportExchange loadExchange = new LoadReportExchange(loadReports, storageNodes);
        while (!Thread.currentThread().isInterrupted()) {
            try {
                mirror.fetchChanges(views.current(), self);
                loadExchange.fetchAll(views.current(), self);
                Thread.sleep(ROUND_MS);
            } catch (RuntimeException | OutOfMemoryError e) {
                LOG.atError().addKeyValue("event", "exchange_failed").setCause(e).log();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void runCoordinator(ViewCoordinator coordinator) {
        int round = 0;
        while (!Thread.currentThread().isInterrupted()) {
            try {
                try {
                    coordinator.runRound();
                    if (++round % ROUNDS_PER_EXPIRY == 0) {
                        index.expire();
                    }
                } catch (RuntimeException | OutOfMemoryError e) {
                    LOG.atError().addKeyValue("event", "round_failed").setCause(e).log();
                }
                // Start the next round at once on a new view: until then this storage node may be
                // unable
                // to take part in it.
                if (wakeUps.tryAcquire(ROUND_MS, TimeUnit.MILLISECONDS)) {
                    wakeUps.drainPermits();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
