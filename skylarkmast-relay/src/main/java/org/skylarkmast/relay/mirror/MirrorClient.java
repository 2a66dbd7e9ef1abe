package org.skylarkmast.relay.mirror;

import java.util.concurrent.TimeUnit;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
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

    /** Maximum wait of one long poll; a change ends it at once. */
    private static final int POLL_WAIT_MS = 1000;

    /** Time allowed for the answer to a poll in addition to its wait. */
    private static final long ANSWER_ALLOWANCE_MS = 400;

    /** Pause between polls, so that changes in quick succession are fetched together. */
    private static final long BATCH_PAUSE_MS = 80;

    /** Pause between polls while no storage node is connected to the service. */
    private static final long STALE_PAUSE_MS = 250;

    /** Pause after a poll that no storage node answered. */
    private static final long RETRY_PAUSE_MS = 100;

    /**
     * Time since the last answer of a storage node connected to the service after which the service
     * is read directly: a new configuration must be in force within two seconds.
     */
    private static final long MAX_STALENESS_MS = 1200;

    /** Pause between direct reads of the service; the platform charges for each call. */
    private static final long READ_PAUSE_MS = 1000;

    private static final long MAX_READ_PAUSE_MS = 4000;

    private final KeyValueStore store;
    private final KeyRange keys;
    private final StoreMirror mirror;
    private final LedgerClient ledger;
    private final CurrencyProof proof;
    private final String configurationKey;
    private final ReadOutage outage = new ReadOutage();
    private final Thread thread;
    private long upToDateNs;
    private volatile long provenNs;
    private long lastReadNs;
    private long readPauseMs;

    /** Whether a storage node connected to the service answered the last poll. */
    private boolean relayed;

    /** Starts keeping {@code mirror} up to date, without a proof of the configuration. */
    public MirrorClient(
            KeyValueStore store, KeyRange keys, StoreMirror mirror, LedgerClient ledger) {
        this(
                store,
                keys,
                mirror,
                ledger,
                new CurrencyProof(System::nanoTime, System::currentTimeMillis),
                "");
    }

    /**
     * Starts keeping {@code mirror} up to date.
     *
     * @param proof renewed by answers of storage nodes and by direct reads
     * @param configurationKey key of the configuration that is proved to be the newest
     */
    public MirrorClient(
            KeyValueStore store,
            KeyRange keys,
            StoreMirror mirror,
            LedgerClient ledger,
            CurrencyProof proof,
            String configurationKey) {
        this.proof = proof;
        this.configurationKey = configurationKey;
        this.store = store;
        this.keys = keys;
        this.mirror = mirror;
        this.ledger = ledger;
        this.thread = Thread.ofVirtual().name("mirror-client").start(this::run);
    }

    /**
     * Returns the seconds since a storage node connected to the service answered, or the service
     * was read; infinite before the first time.
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
                    update();
                } catch (RuntimeException | OutOfMemoryError e) {
                    LOG.atError().addKeyValue("event", "mirror_round_failed").setCause(e).log();
                    Thread.sleep(RETRY_PAUSE_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void update() throws InterruptedException {
        mirror.tick();
        if (isStale() && isReadDue()) {
            readDirectly();
        }
        boolean answered = mirror.revision() > 0 && poll();
        if (answered) {
            Thread.sleep(isStale() ? STALE_PAUSE_MS : BATCH_PAUSE_MS);
        } else {
            Thread.sleep(RETRY_PAUSE_MS);
        }
    }

    private boolean isStale() {
        return mirror.revision() == 0 || elapsedMs(upToDateNs) > MAX_STALENESS_MS;
    }

    private boolean isReadDue() {
        return lastReadNs == 0 || elapsedMs(lastReadNs) > readPauseMs;
    }

    /** Fetches changes from the nearest storage node; returns whether one answered. */
    private boolean poll() {
        long knownRevision = mirror.revision();
        int waitMs = isStale() ? 0 : POLL_WAIT_MS;
        CurrencyProof.Moment sent = proof.now();
        MirrorChanges changes =
                ledger.callNearest(
                        LedgerOperation.CHANGES,
                        MirrorCodec.encode(
                                new MirrorCodec.ChangesRequest(
                                        mirror.requestRevision(), mirror.digest(), waitMs, false)),
                        waitMs + ANSWER_ALLOWANCE_MS,
                        MirrorCodec::read);
        if (changes == null) {
            logRelayedChange(false, "no storage node answered");
            return false;
        }
        changes.proof().ifPresent(statement -> proof.recordStatement(sent, statement));
        mirror.merge(changes);
        // A storage node that is behind this one misses changes, whatever it knows of its watch.
        boolean upToDate = changes.upToDate() && changes.revision() >= knownRevision;
        if (upToDate) {
            // The storage node has kept what an outage let expire; it tells what was removed since.
            var _ = outage.end(System.nanoTime());
        }
        // If the storage node is not connected to the service, the next update reads it directly.
        upToDateNs = upToDate ? System.nanoTime() : 0;
        if (upToDate) {
            provenNs = upToDateNs;
        }
        logRelayedChange(upToDate, "storage node not connected to the service");
        return true;
    }

    private void readDirectly() {
        lastReadNs = System.nanoTime();
        CurrencyProof.Moment sent = proof.now();
        switch (store.range(keys.from(), keys.to(), 0)) {
            case StoreOutcome.Done<RangeResult> done -> {
                boolean afterOutage = outage.end(System.nanoTime());
                recordProof(sent, done.value());
                mirror.rangeRead(done.value(), afterOutage);
                upToDateNs = System.nanoTime();
                provenNs = upToDateNs;
                readPauseMs = READ_PAUSE_MS;
                LOG.atInfo()
                        .addKeyValue("event", "store_read")
                        .addKeyValue("revision", done.value().revision())
                        .addKeyValue("entries", done.value().entries().size())
                        .addKeyValue("afterOutage", afterOutage)
                        .log();
            }
            case StoreOutcome.NotApplied<RangeResult> failed -> readFailed(failed.reason());
            case StoreOutcome.Unknown<RangeResult> failed -> readFailed(failed.reason());
        }
    }

    private void recordProof(CurrencyProof.Moment sent, RangeResult range) {
        for (StoreEntry entry : range.entries()) {
            if (entry.key().equals(configurationKey)) {
                proof.recordRead(sent, entry.modRevision());
            }
        }
    }

    private void readFailed(String reason) {
        if (outage.readFailed(lastReadNs)) {
            LOG.atWarn().addKeyValue("event", "store_lost").addKeyValue("reason", reason).log();
        }
        // A node without any content cannot serve requests, so it retries in quick succession.
        boolean hasContent = mirror.revision() > 0;
        readPauseMs =
                hasContent ? Math.min(MAX_READ_PAUSE_MS, readPauseMs * 2) : RETRY_PAUSE_MS * 2;
    }

    private void logRelayedChange(boolean nowRelayed, String reason) {
        if (nowRelayed != relayed) {
            relayed = nowRelayed;
            LOG.atInfo()
                    .addKeyValue("event", nowRelayed ? "mirror_relayed" : "mirror_not_relayed")
                    .addKeyValue("revision", mirror.revision())
                    .addKeyValue("reason", nowRelayed ? "" : reason)
                    .log();
        }
    }

    private static long elapsedMs(long sinceNs) {
        return sinceNs == 0
                ? Long.MAX_VALUE
                : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNs);
    }
}
