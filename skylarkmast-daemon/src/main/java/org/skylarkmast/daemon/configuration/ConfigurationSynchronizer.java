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
 * Synchronizes the configuration in force on this node with the published one.
 *
 * <p>Changes are detected by a watch on the head in the key-value service and by polling the head.
 * Polling bounds the delay if the watch stops delivering events without an error. While the service
 * cannot be read, configurations are fetched from peers. Only a higher revision is accepted, and it
 * is written to the data folder before it takes effect. Thread-safe; listeners are called under one
 * lock, in the order of revisions.
 */
public final class ConfigurationSynchronizer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationSynchronizer.class);

    /**
     * Mean interval between polls. A change takes effect within the longest interval plus the time
     * of two reads. A longer interval would exceed the bound of 13 s; a shorter one would cause
     * more reads.
     */
    static final long MEAN_POLL_INTERVAL_MS = 4_000;

    /**
     * Maximum deviation of an interval as a fraction of the mean, so that the nodes do not poll at
     * the same time.
     */
    static final double POLL_JITTER_FRACTION = 0.25;

    /** Minimum interval between polls; limits the read rate if the watch fails repeatedly. */
    private static final long MIN_POLL_INTERVAL_MS = 250;

    private final KeyValueStore store;
    private final ConfigurationReader reader;
    private final Optional<ConfigurationFile> file;
    private final PeerConfigurationSource peers;
    private final DoubleSupplier jitter;
    private final Semaphore pollRequests = new Semaphore(0);
    private final List<Consumer<Configuration>> listeners = new ArrayList<>();
    private final Object acceptLock = new Object();

    private volatile Configuration current = Configuration.EMPTY;
    private volatile boolean closed;
    private volatile HeadWatch headWatch = new HeadWatch();
    private Thread pollThread;

    /** A watch on the head; initially broken, so that the next poll opens one. */
    private static final class HeadWatch {
        private volatile boolean broken = true;
        private volatile Watch watch = () -> {};
    }

    /**
     * Creates an instance; {@link #start} starts it.
     *
     * @param file copy of the configuration that survives a restart; empty on a node without a data
     *     folder
     * @param jitter source of random values in [0, 1)
     */
    public ConfigurationSynchronizer(
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

    /** Reads the data folder and then the key-value service or peers, and starts polling. */
    public void start() {
        loadInitial();
        pollThread = Thread.ofVirtual().name("configuration-keeper").start(this::runPollLoop);
    }

    /** Returns the configuration in force; {@link Configuration#EMPTY} until one was read. */
    public Configuration current() {
        return current;
    }

    /** Returns the configuration in force as an encoded snapshot for peers. */
    public byte[] snapshot() {
        return ConfigurationSnapshot.encode(current);
    }

    /**
     * Adds a listener; it is called immediately with the configuration in force, then with every
     * newer one.
     */
    public void addListener(Consumer<Configuration> listener) {
        synchronized (acceptLock) {
            listeners.add(listener);
            listener.accept(current);
        }
    }

    /** Accepts a configuration that was published by this node. */
    public void onPublished(Configuration configuration) {
        accept(configuration, "published_here");
    }

    /** Requests a poll without waiting for the end of the poll interval. */
    public void requestPoll() {
        pollRequests.release();
    }

    @Override
    public void close() {
        closed = true;
        if (pollThread != null) {
            pollThread.interrupt();
        }
        headWatch.watch.close();
    }

    /** Reads the stored configuration and polls once. */
    void loadInitial() {
        file.flatMap(ConfigurationFile::load).ifPresent(stored -> accept(stored, "data_folder"));
        poll(true);
    }

    /**
     * Reads the head and loads a newer configuration; fetches from peers if the service is
     * unavailable, and reopens the watch if it is broken.
     *
     * @param requested whether the poll was requested, such as by the watch; if it was not, a newer
     *     revision means that the watch missed an event, so the watch is reopened
     */
    void poll(boolean requested) {
        switch (reader.readHead()) {
            case HeadReadOutcome.Found found -> {
                boolean newer = found.stored().head().revision() > current.revision();
                if (newer && !requested) {
                    headWatch.broken = true;
                }
                processHead(found.stored().head(), "store");
                ensureWatch(found.storeRevision() + 1);
            }
            case HeadReadOutcome.Absent absent -> ensureWatch(absent.storeRevision() + 1);
            case HeadReadOutcome.Unavailable unavailable -> fetchFromPeers();
            case HeadReadOutcome.Corrupt corrupt ->
                    LOG.atError().addKeyValue("event", "configuration_head_corrupt").log();
        }
    }

    long nextPollIntervalMs() {
        double factor = 1 + POLL_JITTER_FRACTION * (2 * jitter.getAsDouble() - 1);
        return Math.round(MEAN_POLL_INTERVAL_MS * factor);
    }

    private void runPollLoop() {
        try {
            while (!closed) {
                TimeUnit.MILLISECONDS.sleep(MIN_POLL_INTERVAL_MS);
                boolean requested =
                        pollRequests.tryAcquire(
                                nextPollIntervalMs() - MIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
                if (requested) {
                    pollRequests.drainPermits();
                }
                pollSafely(requested);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Catches exceptions, since ending the loop would leave this node permanently outdated. */
    private void pollSafely(boolean requested) {
        try {
            poll(requested);
        } catch (RuntimeException e) {
            LOG.atError().addKeyValue("event", "configuration_poll_failed").setCause(e).log();
        }
    }

    private void processHead(ConfigurationHead head, String source) {
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
            case LoadOutcome.Superseded superseded -> requestPoll();
            case LoadOutcome.Unavailable unavailable -> fetchFromPeers();
            case LoadOutcome.Unusable unusable ->
                    LOG.atError()
                            .addKeyValue("event", "configuration_unusable")
                            .addKeyValue("revision", head.revision())
                            .addKeyValue("problems", unusable.problems().size())
                            .addKeyValue("first", unusable.problems().getFirst())
                            .log();
        }
    }

    private void fetchFromPeers() {
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
            listeners.forEach(listener -> notifyListener(listener, configuration));
        }
    }

    private static void notifyListener(
            Consumer<Configuration> listener, Configuration configuration) {
        try {
            listener.accept(configuration);
        } catch (RuntimeException e) {
            LOG.atError().addKeyValue("event", "configuration_listener_failed").setCause(e).log();
        }
    }

    private void ensureWatch(long fromRevision) {
        if (closed || !headWatch.broken) {
            return;
        }
        headWatch.watch.close();
        HeadWatch newWatch = new HeadWatch();
        newWatch.broken = false;
        headWatch = newWatch;
        newWatch.watch =
                store.watch(
                        ConfigurationKeys.HEAD,
                        ConfigurationKeys.HEAD + '\0',
                        fromRevision,
                        event -> onWatchEvent(event, newWatch));
    }

    private void onWatchEvent(WatchEvent event, HeadWatch source) {
        switch (event) {
            case WatchEvent.Written written -> requestPoll();
            case WatchEvent.Removed removed -> requestPoll();
            case WatchEvent.Lost lost -> {
                source.broken = true;
                requestPoll();
            }
        }
    }
}
