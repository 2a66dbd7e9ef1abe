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
import org.skylarkmast.relay.keeper.KeeperCoordinator;
import org.skylarkmast.relay.keeper.KeeperHandler;
import org.skylarkmast.relay.keeper.KeeperIndex;
import org.skylarkmast.relay.keeper.KeeperMembership;
import org.skylarkmast.relay.keeper.KeeperRegistry;
import org.skylarkmast.relay.ledger.KeeperClient;
import org.skylarkmast.relay.ledger.KeeperView;
import org.skylarkmast.relay.ledger.ViewHolder;
import org.skylarkmast.relay.mirror.KeyRange;
import org.skylarkmast.relay.mirror.MirrorExchange;
import org.skylarkmast.relay.mirror.StoreFollower;
import org.skylarkmast.relay.mirror.StoreMirror;
import org.skylarkmast.relay.tally.TallyBook;
import org.skylarkmast.relay.tally.TallyExchange;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The keeper node: keeps turns and spent tokens on its disk. */
public final class KeeperNode {
    private static final Logger LOG = LoggerFactory.getLogger(KeeperNode.class);

    private static final int PEER_CONNECT_TIMEOUT_MS = 300;
    private static final int PEER_IDLE_CONNECTIONS = 4;
    private static final int MAX_BODY_BYTES = 16 << 20;

    /** Pause between rounds of the coordinator. */
    private static final long ROUND_MS = 500;

    private static final int ROUNDS_PER_EXPIRY = 10;

    /** Sums of runners are exchanged every second, as often as entry nodes report. */
    private static final int ROUNDS_PER_SUMS = 2;

    private final Semaphore wakeUps = new Semaphore(0);
    private final ViewHolder views = new ViewHolder(view -> wakeUps.release());
    private final TallyBook tallies = new TallyBook(System::nanoTime);
    private final KeeperIndex index;
    private final KeeperMembership membership;
    private final KeeperView.Member self;
    private final RelaySettings settings;
    private final KeeperClient keepers;
    private final MirrorExchange mirror;

    /**
     * Opens the disk, follows the key-value service and starts to answer.
     *
     * @param keys what is followed there
     * @param feed makes the receiver of what lies there, which gives views to the holder
     * @throws IOException if the disk cannot be read or an address not be bound
     */
    public KeeperNode(
            RelaySettings settings,
            KeyValueStore store,
            KeyRange keys,
            Function<ViewHolder, StoreMirror.Listener> feed)
            throws IOException {
        this.settings = settings;
        StoreMirror content = new StoreMirror(feed.apply(views), System::nanoTime);
        Path folder = settings.dataFolder();
        self =
                new KeeperView.Member(
                        settings.node(), settings.ip() + ":" + settings.internalPort());
        index = new KeeperIndex(folder.resolve("records"), System::currentTimeMillis);
        membership = new KeeperMembership(self, folder, views);
        keepers =
                new KeeperClient(
                        new HttpClient(PEER_IDLE_CONNECTIONS, PEER_CONNECT_TIMEOUT_MS),
                        views::offer);
        StoreFollower follower = new StoreFollower(store, keys.from(), keys.to(), content);
        mirror = new MirrorExchange(content, keepers, follower::connected);
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
                        new KeeperHandler(index, membership, views, tallies, mirror));
        LOG.atInfo()
                .addKeyValue("event", "keeper_node_started")
                .addKeyValue("settings", settings)
                .addKeyValue("complete", membership.complete())
                .addKeyValue("turns", index.turnCount())
                .log();
    }

    /** This keeper, as it registers. */
    public KeeperView.Member self() {
        return self;
    }

    /** Where views of keepers go. */
    public ViewHolder views() {
        return views;
    }

    /** Starts to take part in the choice of views. */
    public void join(KeeperRegistry registry) {
        KeeperCoordinator coordinator =
                new KeeperCoordinator(
                        index,
                        membership,
                        views,
                        keepers,
                        registry,
                        settings.firstStart(),
                        settings.toleratedLosses() + 1,
                        System::nanoTime);
        Thread.ofVirtual().name("keeper-rounds").start(() -> rounds(coordinator));
        Thread.ofVirtual().name("keeper-exchange").start(this::exchange);
    }

    /** Tells and asks other keepers what is new, apart from the rounds that may wait for them. */
    private void exchange() {
        TallyExchange sums = new TallyExchange(tallies, keepers);
        for (int round = 0; !Thread.currentThread().isInterrupted(); round++) {
            try {
                mirror.round(views.current(), self);
                if (round % ROUNDS_PER_SUMS == 0) {
                    sums.round(views.current(), self);
                }
                Thread.sleep(ROUND_MS);
            } catch (RuntimeException e) {
                LOG.atError().addKeyValue("event", "exchange_failed").setCause(e).log();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void rounds(KeeperCoordinator coordinator) {
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
                // A new view is acted on at once: until then this keeper may take no part.
                if (wakeUps.tryAcquire(ROUND_MS, TimeUnit.MILLISECONDS)) {
                    wakeUps.drainPermits();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
