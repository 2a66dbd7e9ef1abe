package org.skylarkmast.relay.mirror;

import java.util.concurrent.TimeUnit;

/**
 * The time for which reads of the key-value service have failed. Not thread-safe.
 *
 * <p>Only a long outage lets keys expire whose owners are alive. After a short one, a key that is
 * missing has been removed.
 */
final class ReadOutage {

    /** Owners renew their keys every second or so; a key expires after several missed renewals. */
    private static final long MIN_EXPIRY_MS = 1000;

    private boolean lasts;
    private long startedNs;

    /**
     * Records a failed read.
     *
     * @param readStartedNs when the read was sent, on the JDK's monotonic clock
     * @return whether it is the first of an outage
     */
    boolean readFailed(long readStartedNs) {
        boolean first = !lasts;
        if (first) {
            lasts = true;
            startedNs = readStartedNs;
        }
        return first;
    }

    /**
     * Ends the outage, if there is one.
     *
     * @param nowNs time on the same clock
     * @return whether keys may have expired during it
     */
    boolean end(long nowNs) {
        boolean mayHaveExpiredKeys =
                lasts && nowNs - startedNs >= TimeUnit.MILLISECONDS.toNanos(MIN_EXPIRY_MS);
        lasts = false;
        return mayHaveExpiredKeys;
    }
}
