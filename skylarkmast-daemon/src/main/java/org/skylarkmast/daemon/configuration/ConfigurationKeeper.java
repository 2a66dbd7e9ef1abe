package org.skylarkmast.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.ConfigurationHead;
import org.skylarkmast.core.config.ConfigurationKeys;
import org.skylarkmast.core.config.ConfigurationSnapshot;
import org.skylarkmast.core.config.ValidationOutcome;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.Watch;
import org.skylarkmast.core.store.WatchEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the configuration in force on this node.
 *
 * <p>Follows the key-value service by a watch and by polling the head, which bounds the delay when
 * the watch is silently dead. While the service cannot be read, it asks peers. Only a higher
 * revision is ever accepted, and it is written to the data folder before it is put in force.
 * Thread-safe; listeners are called under one lock, in the order of revisions.
 */
public final class ConfigurationKeeper implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationKeeper.class);

    /**
     * Mean time between polls. A change is in force within the longest poll delay plus the time of
     * two reads; a longer one breaks the bound of 13 s, a shorter one costs reads.
     */
    static final long POLL_MS = 4_000;

    /** Largest share by which a poll's delay differs from the mean, so that nodes spread out. */
    static final double POLL_JITTER = 0.25;

    /** Shortest time between polls; bounds the reads when a watch breaks again and again. */
    private static final long MIN_POLL_GAP_MS = 250;

    private final KeyValueStore store;
    private final ConfigurationReader reader;
    private final Optional<ConfigurationFile> file;
    private final PeerConfigurationSource peers;
    private final DoubleSupplier jitter;
    private final Semaphore wakeUps = new Semaphore(0);
    private final List<Consumer<Configuration>> listeners = new ArrayList<>();
    private final Object acceptLock = new Object();

    private volatile Configuration current = Configuration.EMPTY;
    private volatile boolean closed;
    private volatile FollowedWatch followed = new FollowedWatch();
    private Thread loop;

    /** A watch that the loop has opened, or that is still to be opened. */
    private static final class FollowedWatch {
        private volatile boolean broken = true;
        private volatile Watch watch = () -> {};
    }

    /**
     * Creates a keeper; {@link #start} sets it going.
     *
     * @param file where the configuration outlives a restart; empty on a node without a data folder
     * @param jitter source of values in [0, 1)
     */
    public ConfigurationKeeper(
            KeyValueStore store,
            ConfigurationReader reader,
            Optional<ConfigurationFile> file,
            PeerConfigurationSource peers,
            DoubleSupplier jitter) {
        this.store = store;
        this.reader = reader;
        this.file = file;
        this.peers = peers;
        this.jitter = jitter;
    }

    /** Reads the data folder, then the key-value service or peers once, and goes on following. */
    public void start() {
        readOnce();
        loop = Thread.ofVirtual().name("configuration-keeper").start(this::follow);
    }

    /** The configuration in force here; {@link Configuration#EMPTY} before any was read. */
    public Configuration current() {
        return current;
    }

    /** The configuration in force here as a snapshot for peers. */
    public byte[] snapshot() {
        return ConfigurationSnapshot.encode(current);
    }

    /** Adds a listener; it is told the configuration in force at once, then every newer one. */
    public void addListener(Consumer<Configuration> listener) {
        synchronized (acceptLock) {
            listeners.add(listener);
            listener.accept(current);
        }
    }

    /** Puts a configuration that was just published here in force. */
    public void published(Configuration configuration) {
        accept(configuration, "published_here");
    }

    /** Polls soon, since a peer is known to be ahead. */
    public void wake() {
        wakeUps.release();
    }

    @Override
    public void close() {
        closed = true;
        if (loop != null) {
            loop.interrupt();
        }
        followed.watch.close();
    }

    /** Reads what there is at the start. */
    void readOnce() {
        file.flatMap(ConfigurationFile::load).ifPresent(stored -> accept(stored, "data_folder"));
        poll(true);
    }

    /**
     * Reads the head and what is new; asks peers if that fails; sees to the watch.
     *
     * @param expected whether something called for the poll; a change found without is one that the
     *     watch has missed, so the watch is opened anew
     */
    void poll(boolean expected) {
        switch (reader.readHead()) {
            case HeadOutcome.Found found -> {
                boolean newer = found.stored().head().revision() > current.revision();
                if (newer && !expected) {
                    followed.broken = true;
                }
                take(found.stored().head(), "store");
                ensureWatch(found.storeRevision() + 1);
            }
            case HeadOutcome.Absent absent -> ensureWatch(absent.storeRevision() + 1);
            case HeadOutcome.Unavailable unavailable -> askPeers();
            case HeadOutcome.Corrupt corrupt ->
                    LOG.atError().addKeyValue("event", "configuration_head_corrupt").log();
        }
    }

    long nextPollDelayMs() {
        double share = 1 + POLL_JITTER * (2 * jitter.getAsDouble() - 1);
        return Math.round(POLL_MS * share);
    }

    private void follow() {
        try {
            while (!closed) {
                TimeUnit.MILLISECONDS.sleep(MIN_POLL_GAP_MS);
                boolean woken =
                        wakeUps.tryAcquire(
                                nextPollDelayMs() - MIN_POLL_GAP_MS, TimeUnit.MILLISECONDS);
                if (woken) {
                    wakeUps.drainPermits();
                }
                pollSafely(woken);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A failure must not end the loop, which would leave this node behind for good. */
    private void pollSafely(boolean expected) {
        try {
            poll(expected);
        } catch (RuntimeException e) {
            LOG.atError().addKeyValue("event", "configuration_poll_failed").setCause(e).log();
        }
    }

    private void take(ConfigurationHead head, String source) {
        if (head.revision() < current.revision()) {
            LOG.atWarn()
                    .addKeyValue("event", "configuration_older_ignored")
                    .addKeyValue("revision", head.revision())
                    .addKeyValue("inForce", current.revision())
                    .log();
            return;
        }
        if (head.revision() == current.revision()) {
            return;
        }
        switch (reader.load(head)) {
            case LoadOutcome.Loaded loaded -> accept(loaded.configuration(), source);
            case LoadOutcome.Superseded superseded -> wake();
            case LoadOutcome.Unavailable unavailable -> askPeers();
            case LoadOutcome.Unusable unusable ->
                    LOG.atError()
                            .addKeyValue("event", "configuration_unusable")
                            .addKeyValue("revision", head.revision())
                            .addKeyValue("problems", unusable.problems().size())
                            .addKeyValue("first", unusable.problems().getFirst())
                            .log();
        }
    }

    private void askPeers() {
        for (byte[] snapshot : peers.newerThan(current.revision())) {
            switch (ConfigurationSnapshot.decode(snapshot)) {
                case ValidationOutcome.Valid valid -> accept(valid.configuration(), "peer");
                case ValidationOutcome.Invalid invalid ->
                        LOG.atWarn()
                                .addKeyValue("event", "configuration_of_peer_unusable")
                                .addKeyValue("first", invalid.problems().getFirst())
                                .log();
            }
        }
    }

    private void accept(Configuration configuration, String source) {
        synchronized (acceptLock) {
            if (configuration.revision() <= current.revision()) {
                return;
            }
            if (!source.equals("data_folder")) {
                file.ifPresent(stored -> stored.save(configuration));
            }
            current = configuration;
            LOG.atInfo()
                    .addKeyValue("event", "configuration_accepted")
                    .addKeyValue("revision", configuration.revision())
                    .addKeyValue("source", source)
                    .log();
            listeners.forEach(listener -> tell(listener, configuration));
        }
    }

    private static void tell(Consumer<Configuration> listener, Configuration configuration) {
        try {
            listener.accept(configuration);
        } catch (RuntimeException e) {
            LOG.atError().addKeyValue("event", "configuration_listener_failed").setCause(e).log();
        }
    }

    private void ensureWatch(long fromRevision) {
        if (closed || !followed.broken) {
            return;
        }
        followed.watch.close();
        FollowedWatch next = new FollowedWatch();
        next.broken = false;
        followed = next;
        next.watch =
                store.watch(
                        ConfigurationKeys.HEAD,
                        ConfigurationKeys.HEAD + '\0',
                        fromRevision,
                        event -> onWatch(event, next));
    }

    private void onWatch(WatchEvent event, FollowedWatch source) {
        switch (event) {
            case WatchEvent.Written written -> wake();
            case WatchEvent.Removed removed -> wake();
            case WatchEvent.Lost lost -> {
                source.broken = true;
                wake();
            }
        }
    }
}
