package org.skylarkmast.relay.mirror;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the configuration from the key-value service whenever no younger proof that it is the
 * newest has come from elsewhere.
 *
 * <p>Runs on one thread of its own, since polls of storage nodes and reads of the whole content may
 * block for longer than a proof lasts.
 */
public final class CurrencyReader implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(CurrencyReader.class);

    private static final long CHECK_MS = 200;

    /** Pauses between reads; the platform charges for each call. */
    private static final long MIN_PAUSE_MS = 500;

    private static final long MAX_PAUSE_MS = 2000;

    private final KeyValueStore store;
    private final String key;
    private final StoreMirror mirror;
    private final CurrencyProof proof;
    private final BooleanSupplier needed;
    private final long maxAgeMs;
    private final Runnable onCheck;
    private final Thread thread;
    private long pauseMs = MIN_PAUSE_MS;
    private long lastReadNs = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(MAX_PAUSE_MS);

    /**
     * Starts reading.
     *
     * @param key key of the configuration
     * @param mirror receives the configuration that was read
     * @param needed whether a proof is needed at present
     * @param maxAgeMs age from which the service is read instead of waiting for another proof
     * @param onCheck called several times a second; must not block
     */
    public CurrencyReader(
            KeyValueStore store,
            String key,
            StoreMirror mirror,
            CurrencyProof proof,
            BooleanSupplier needed,
            long maxAgeMs,
            Runnable onCheck) {
        this.store = store;
        this.key = key;
        this.mirror = mirror;
        this.proof = proof;
        this.needed = needed;
        this.maxAgeMs = maxAgeMs;
        this.onCheck = onCheck;
        this.thread = Thread.ofVirtual().name("currency-reader").start(this::run);
    }

    @Override
    public void close() {
        thread.interrupt();
    }

    private void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                try {
                    if (isDue()) {
                        read();
                    }
                    onCheck.run();
                } catch (RuntimeException e) {
                    LOG.atError().addKeyValue("event", "currency_read_failed").setCause(e).log();
                }
                Thread.sleep(CHECK_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isDue() {
        long sinceReadMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastReadNs);
        if (!needed.getAsBoolean() || sinceReadMs < pauseMs) {
            return false;
        }
        OptionalLong ageMs = proof.ageMs();
        return ageMs.isEmpty() || ageMs.getAsLong() >= maxAgeMs;
    }

    private void read() {
        CurrencyProof.Moment sent = proof.now();
        lastReadNs = System.nanoTime();
        switch (store.read(key)) {
            case StoreOutcome.Done<RangeResult> done -> {
                pauseMs = MIN_PAUSE_MS;
                for (StoreEntry entry : done.value().entries()) {
                    // First, so that an answer with the proof also has the configuration.
                    mirror.readOne(entry);
                    proof.recordRead(sent, entry.modRevision());
                }
            }
            case StoreOutcome.NotApplied<RangeResult> failed -> readFailed(failed.reason());
            case StoreOutcome.Unknown<RangeResult> failed -> readFailed(failed.reason());
        }
    }

    private void readFailed(String reason) {
        if (pauseMs == MIN_PAUSE_MS) {
            LOG.atWarn()
                    .addKeyValue("event", "configuration_not_read")
                    .addKeyValue("reason", reason)
                    .log();
        }
        pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    }
}
