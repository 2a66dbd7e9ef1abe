package org.skylarkmast.relay.mirror;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The time for which reads of the key-value service have failed. Not thread-safe.
 *
 * <p>Only a long outage lets keys expire whose owners are alive. After a short one, a key that is
 * missing has been removed.
 */
final class ReadOutage {

    /** Owners renew their keys every second or so; a key expires after several missed renewals. */
    private static final long MIN_EXPIRY_MS = 1000;

    private final LongSupplier clockNs;
    private boolean lasts;
    private long startedNs;

    /**
     * @param clockNs monotonic clock, in ns
     */
    ReadOutage(LongSupplier clockNs) {
        this.clockNs = clockNs;
    }

    /** Records a failed read; returns whether it is the first of an outage. */
    boolean readFailed() {
        boolean first = !lasts;
        if (first) {
            lasts = true;
            startedNs = clockNs.getAsLong();
        }
        return first;
    }

    /** Ends the outage, if there is one; returns whether keys may have expired during it. */
    boolean end() {
        boolean mayHaveExpiredKeys =
                lasts
                        && clockNs.getAsLong() - startedNs
                                >= TimeUnit.MILLISECONDS.toNanos(MIN_EXPIRY_MS);
        lasts = false;
        return mayHaveExpiredKeys;
    }
}
