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
 * Follows a range of keys: reads it, watches it, and reads it again when the watch is lost.
 *
 * <p>One thread calls the listener.
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

    /** Is told what the range holds. */
    public interface Listener {

        /**
         * The range as read whole.
         *
         * @param afterOutage whether the store could not be read for a time before
         */
        void all(RangeResult read, boolean afterOutage);

        /** A key was written. */
        void written(StoreEntry entry);

        /** A key was removed, at {@code revision}. */
        void removed(String key, long revision);

        /** Time passed; called several times a second. */
        void tick();
    }

    /** Starts to follow the keys from {@code fromKey} (inclusive) to {@code toKey} (exclusive). */
    public StoreFollower(KeyValueStore store, String fromKey, String toKey, Listener listener) {
        this.store = store;
        this.fromKey = fromKey;
        this.toKey = toKey;
        this.listener = listener;
        this.thread = Thread.ofVirtual().name("store-follower").start(this::run);
    }

    /** Whether the range is watched now. */
    public boolean connected() {
        return connected;
    }

    @Override
    public void close() {
        thread.interrupt();
    }

    private void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                follow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void follow() throws InterruptedException {
        long pauseMs = FIRST_RETRY_MS;
        boolean outage = false;
        RangeResult read = null;
        while (read == null) {
            switch (store.range(fromKey, toKey, 0)) {
                case StoreOutcome.Done<RangeResult> done -> read = done.value();
                case StoreOutcome.NotApplied<RangeResult> failed -> lost(outage, failed.reason());
                case StoreOutcome.Unknown<RangeResult> failed -> lost(outage, failed.reason());
            }
            if (read == null) {
                outage = true;
                listener.tick();
                Thread.sleep(pauseMs);
                pauseMs = Math.min(MAX_RETRY_MS, pauseMs * 2);
            }
        }
        LOG.atInfo()
                .addKeyValue("event", "store_read")
                .addKeyValue("revision", read.revision())
                .addKeyValue("entries", read.entries().size())
                .addKeyValue("afterOutage", outage)
                .log();
        connected = true;
        listener.all(read, outage);
        // A queue of its own, so that nothing of an earlier watch is taken for this one's.
        LinkedBlockingQueue<WatchEvent> events = new LinkedBlockingQueue<>();
        Watch watch = store.watch(fromKey, toKey, read.revision() + 1, events::add);
        try {
            while (take(events)) {
                listener.tick();
            }
        } finally {
            watch.close();
        }
        connected = false;
    }

    /** Returns false once the watch is lost. */
    private boolean take(LinkedBlockingQueue<WatchEvent> events) throws InterruptedException {
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

    private static void lost(boolean before, String reason) {
        if (!before) {
            LOG.atWarn().addKeyValue("event", "store_lost").addKeyValue("reason", reason).log();
        }
    }
}
