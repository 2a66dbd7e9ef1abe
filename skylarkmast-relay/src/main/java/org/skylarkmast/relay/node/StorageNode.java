package org.skylarkmast.relay.node;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.skylarkmast.relay.loadreport.LoadReportAggregator;
import org.skylarkmast.relay.loadreport.LoadReportExchange;
import org.skylarkmast.relay.mirror.KeyRange;
import org.skylarkmast.relay.mirror.MirrorExchange;
import org.skylarkmast.relay.mirror.StoreFollower;
import org.skylarkmast.relay.mirror.StoreMirror;
import org.skylarkmast.relay.storage.QuorumMembership;
import org.skylarkmast.relay.storage.RecordIndex;
import org.skylarkmast.relay.storage.StorageNodeHandler;
import org.skylarkmast.relay.storage.StorageNodeRegistry;
import org.skylarkmast.relay.storage.ViewCoordinator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The storage node: keeps turns and spent tokens on its disk. */
public final class StorageNode {
    private static final Logger LOG = LoggerFactory.getLogger(StorageNode.class);

    private static final int PEER_CONNECT_TIMEOUT_MS = 300;
    private static final int PEER_IDLE_CONNECTIONS = 4;
    private static final int MAX_BODY_BYTES = 16 << 20;

    /** Pause between rounds of the coordinator. */
    private static final long ROUND_MS = 500;

    private static final int ROUNDS_PER_EXPIRY = 10;

    /** Sums of runners are exchanged every second, as often as entry nodes report. */
    private static final int ROUNDS_PER_SUMS = 2;

    private final Semaphore wakeUps = new Semaphore(0);
    private final CurrentView views = new CurrentView(view -> wakeUps.release());
    private final LoadReportAggregator loadReports = new LoadReportAggregator(System::nanoTime);
    private final RecordIndex index;
    private final QuorumMembership membership;
    private final LedgerView.Member self;
    private final RelaySettings settings;
    private final StorageNodeClient storageNodes;
    private final MirrorExchange mirror;

    /**
     * Opens the disk, follows the key-value service and starts to answer.
     *
     * @param keys what is followed there
     * @param feed makes the receiver of what lies there, which gives views to the holder
     * @throws IOException if the disk cannot be read or an address not be bound
     */
    public StorageNode(
            RelaySettings settings,
            KeyValueStore store,
            KeyRange keys,
            Function<CurrentView, StoreMirror.Listener> feed)
            throws IOException {
        this.settings = settings;
        StoreMirror content = new StoreMirror(feed.apply(views), System::nanoTime);
        Path folder = settings.dataFolder();
        self =
                new LedgerView.Member(
                        settings.node(), settings.ip() + ":" + settings.internalPort());
        index = new RecordIndex(folder.resolve("records"), System::currentTimeMillis);
        membership = new QuorumMembership(self, folder, views);
        storageNodes =
                new StorageNodeClient(
                        new HttpClient(PEER_IDLE_CONNECTIONS, PEER_CONNECT_TIMEOUT_MS),
                        views::offer);
        StoreFollower follower = new StoreFollower(store, keys.from(), keys.to(), content);
        mirror = new MirrorExchange(content, storageNodes, follower::connected);
        PrometheusRegistry registry = new PrometheusRegistry();
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
        NodeEndpoints.start(settings.ip(), settings.metricsPort(), registry);
        var _ =
                HttpServer.start(
                        settings.ip(),
                        settings.internalPort(),
                        MAX_BODY_BYTES,
                        new StorageNodeHandler(index, membership, views, loadReports, mirror));
        LOG.atInfo()
                .addKeyValue("event", "keeper_node_started")
                .addKeyValue("settings", settings)
                .addKeyValue("complete", membership.complete())
                .addKeyValue("turns", index.turnCount())
                .log();
    }

    /** This storage node, as it registers. */
    public LedgerView.Member self() {
        return self;
    }

    /** Where views of storage nodes go. */
    public CurrentView views() {
        return views;
    }

    /** Starts to take part in the choice of views. */
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
        Thread.ofVirtual().name("keeper-rounds").start(() -> rounds(coordinator));
        Thread.ofVirtual().name("keeper-exchange").start(this::exchange);
    }

    /**
     * Tells and asks other storage nodes what is new, apart from the rounds that may wait for them.
     */
    private void exchange() {
        LoadReportExchange sums = new LoadReportExchange(loadReports, storageNodes);
        for (int round = 0; !Thread.currentThread().isInterrupted(); round++) {
            try {
                mirror.round(views.current(), self);
                if (round % ROUNDS_PER_SUMS == 0) {
                    sums.fetchAll(views.current(), self);
                }
                Thread.sleep(ROUND_MS);
            } catch (RuntimeException e) {
                LOG.atError().addKeyValue("event", "exchange_failed").setCause(e).log();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void rounds(ViewCoordinator coordinator) {
        int round = 0;
        while (!Thread.currentThread().isInterrupted()) {
            try {
                try {
                    coordinator.round();
                    if (++round % ROUNDS_PER_EXPIRY == 0) {
                        index.expire();
                    }
                } catch (RuntimeException e) {
                    LOG.atError().addKeyValue("event", "round_failed").setCause(e).log();
                }
                // A new view is acted on at once: until then this storage node may take no part.
                if (wakeUps.tryAcquire(ROUND_MS, TimeUnit.MILLISECONDS)) {
                    wakeUps.drainPermits();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
