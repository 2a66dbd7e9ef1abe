package org.skylarkmast.relay.mirror;

import java.util.concurrent.TimeUnit;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps an entry node's mirror up to date by long polls of storage nodes, and by direct reads of
 * the service at the start and while no storage node that is connected to it answers.
 *
 * <p>Runs on one thread of its own.
 */
public final class MirrorClient implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(MirrorClient.class);

    /** Longest wait of one long poll; a change ends it at once. */
    private static final int WAIT_MS = 1000;

    /** Time for the answer beyond the wait. */
    private static final long ANSWER_MS = 400;

    /** Pause between polls, which batches changes that come close together. */
    private static final long BATCH_MS = 80;

    /** Pause between polls while no storage node is connected to the service. */
    private static final long STALE_PAUSE_MS = 250;

    /** Pause while no storage node answers. */
    private static final long RETRY_MS = 100;

    /**
     * Time since the last answer of a storage node connected to the service after which the service
     * is read directly: a configuration must be in force within two seconds.
     */
    private static final long STALE_MS = 1200;

    /** Pause between direct reads; the platform charges for each call. */
    private static final long READ_PAUSE_MS = 1000;

    private static final long MAX_READ_PAUSE_MS = 4000;

    private final KeyValueStore store;
    private final KeyRange keys;
    private final StoreMirror mirror;
    private final LedgerClient ledger;
    private final Thread thread;
    private long freshNs;
    private long readNs;
    private long readPauseMs;
    private boolean outage;
    private boolean relayed;

    /** Starts to keep {@code mirror} up to date. */
    public MirrorClient(
            KeyValueStore store, KeyRange keys, StoreMirror mirror, LedgerClient ledger) {
        this.store = store;
        this.keys = keys;
        this.mirror = mirror;
        this.ledger = ledger;
        this.thread = Thread.ofVirtual().name("mirror-client").start(this::run);
    }

    @Override
    public void close() {
        thread.interrupt();
    }

    private void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                try {
                    round();
                } catch (RuntimeException e) {
                    LOG.atError().addKeyValue("event", "mirror_round_failed").setCause(e).log();
                    Thread.sleep(RETRY_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void round() throws InterruptedException {
        mirror.tick();
        if (stale() && readDue()) {
            read();
        }
        boolean asked = mirror.revision() > 0 && ask();
        if (asked) {
            Thread.sleep(stale() ? STALE_PAUSE_MS : BATCH_MS);
        } else {
            Thread.sleep(RETRY_MS);
        }
    }

    private boolean stale() {
        return mirror.revision() == 0 || sinceMs(freshNs) > STALE_MS;
    }

    private boolean readDue() {
        return readNs == 0 || sinceMs(readNs) > readPauseMs;
    }

    /** Returns whether a storage node answered. */
    private boolean ask() {
        long known = mirror.revision();
        int waitMs = stale() ? 0 : WAIT_MS;
        MirrorChanges changes =
                ledger.callNearest(
                        LedgerOperation.CHANGES,
                        MirrorCodec.encode(
                                new MirrorCodec.Question(known, mirror.digest(), waitMs, false)),
                        waitMs + ANSWER_MS,
                        MirrorCodec::read);
        if (changes == null) {
            note(false, "no answer");
            return false;
        }
        mirror.merge(changes);
        // The next round reads the service directly if the storage node is not connected to it.
        freshNs = changes.live() ? System.nanoTime() : 0;
        note(changes.live(), "keeper not connected to the service");
        return true;
    }

    private void read() {
        readNs = System.nanoTime();
        switch (store.range(keys.from(), keys.to(), 0)) {
            case StoreOutcome.Done<RangeResult> done -> {
                mirror.all(done.value(), outage);
                outage = false;
                freshNs = System.nanoTime();
                readPauseMs = READ_PAUSE_MS;
                LOG.atInfo()
                        .addKeyValue("event", "store_read")
                        .addKeyValue("revision", done.value().revision())
                        .addKeyValue("entries", done.value().entries().size())
                        .log();
            }
            case StoreOutcome.NotApplied<RangeResult> failed -> lost(failed.reason());
            case StoreOutcome.Unknown<RangeResult> failed -> lost(failed.reason());
        }
    }

    private void lost(String reason) {
        if (!outage) {
            LOG.atWarn().addKeyValue("event", "store_lost").addKeyValue("reason", reason).log();
        }
        outage = true;
        // A node that knows nothing yet cannot serve, so it asks often.
        boolean known = mirror.revision() > 0;
        readPauseMs = known ? Math.min(MAX_READ_PAUSE_MS, readPauseMs * 2) : RETRY_MS * 2;
    }

    private void note(boolean live, String reason) {
        if (live != relayed) {
            relayed = live;
            LOG.atInfo()
                    .addKeyValue("event", live ? "mirror_relayed" : "mirror_not_relayed")
                    .addKeyValue("revision", mirror.revision())
                    .addKeyValue("reason", live ? "" : reason)
                    .log();
        }
    }

    private static long sinceMs(long ns) {
        return ns == 0 ? Long.MAX_VALUE : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - ns);
    }
}
