package org.skylarkmast.relay.mirror;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Watch;
import org.skylarkmast.core.store.WatchEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a range of keys of the store: reads it, watches it for changes, and reads it again when
 * the watch is lost or the listener fails.
 *
 * <p>All calls of the listener come from one thread.
 */
public final class StoreFollower implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StoreFollower.class);
    private static final long FIRST_RETRY_MS = 50;
    private static final long MAX_RETRY_MS = 800;

    private final KeyValueStore store;
    private final String fromKey;
    private final String toKey;
    private final Listener listener;
    private final Thread thread;
    private volatile boolean connected;
    private volatile long provenNs;

    /** Receives the content of the range and its changes. */
    public interface Listener {

        /**
         * The whole range was read.
         *
         * @param afterOutage whether reads failed before this one for so long that keys may have
         *     expired whose owners are alive
         */
        void rangeRead(RangeResult range, boolean afterOutage);

        /** A key was written. */
        void written(StoreEntry entry);

        /** A key was removed, at {@code revision}. */
        void removed(String key, long revision);

        /** Called several times a second, for work that depends on the time. */
        void tick();
    }

    /** Starts following the keys from {@code fromKey} (inclusive) to {@code toKey} (exclusive). */
    public StoreFollower(KeyValueStore store, String fromKey, String toKey, Listener listener) {
        this.store = store;
        this.fromKey = fromKey;
        this.toKey = toKey;
        this.listener = listener;
        this.thread = Thread.ofVirtual().name("store-follower").start(this::run);
    }

    /** Whether the listener has received the range and its watch is not known to be lost. */
    public boolean connected() {
        return connected;
    }

    /**
     * Returns the seconds since this follower last handled what its watch delivered, while the
     * watch was not known to be lost; infinite before the first time.
     */
    public double proofAgeSeconds() {
        return ProofAge.seconds(provenNs);
    }

    @Override
    public void close() {
        thread.interrupt();
    }

    private void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                try {
                    readAndWatch();
                } catch (RuntimeException | OutOfMemoryError e) {
                    LOG.atError().addKeyValue("event", "store_follow_failed").setCause(e).log();
                    Thread.sleep(MAX_RETRY_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readAndWatch() throws InterruptedException {
        long retryMs = FIRST_RETRY_MS;
        ReadOutage outage = new ReadOutage();
        RangeResult range = null;
        while (range == null) {
            long readStartedNs = System.nanoTime();
            switch (store.range(fromKey, toKey, 0)) {
                case StoreOutcome.Done<RangeResult> done -> range = done.value();
                case StoreOutcome.NotApplied<RangeResult> failed ->
                        logReadFailure(outage.readFailed(readStartedNs), failed.reason());
                case StoreOutcome.Unknown<RangeResult> failed ->
                        logReadFailure(outage.readFailed(readStartedNs), failed.reason());
            }
            if (range == null) {
                listener.tick();
                Thread.sleep(retryMs);
                retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
            }
        }
        boolean afterOutage = outage.end(System.nanoTime());
        LOG.atInfo()
                .addKeyValue("event", "store_read")
                .addKeyValue("revision", range.revision())
                .addKeyValue("entries", range.entries().size())
                .addKeyValue("afterOutage", afterOutage)
                .log();
        listener.rangeRead(range, afterOutage);
        connected = true;
        // A new queue for each watch, so that late events of an earlier one are not mixed in.
        LinkedBlockingQueue<WatchEvent> events = new LinkedBlockingQueue<>();
        try (Watch _ = store.watch(fromKey, toKey, range.revision() + 1, events::add)) {
            while (handleNext(events)) {
                listener.tick();
                provenNs = System.nanoTime();
            }
        } finally {
            connected = false;
        }
    }

    /** Handles the next event, if any; returns false once the watch is lost. */
    private boolean handleNext(LinkedBlockingQueue<WatchEvent> events) throws InterruptedException {
        WatchEvent event = events.poll(200, TimeUnit.MILLISECONDS);
        return switch (event) {
            case null -> true;
            case WatchEvent.Written written -> {
                listener.written(written.entry());
                yield true;
            }
            case WatchEvent.Removed removed -> {
                listener.removed(removed.key(), removed.revision());
                yield true;
            }
            case WatchEvent.Lost lost -> {
                LOG.atInfo()
                        .addKeyValue("event", "watch_lost")
                        .addKeyValue("reason", lost.reason())
                        .log();
                yield false;
            }
        };
    }

    private static void logReadFailure(boolean first, String reason) {
        if (first) {
            LOG.atWarn().addKeyValue("event", "store_lost").addKeyValue("reason", reason).log();
        }
    }
}
