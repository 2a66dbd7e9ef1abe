package org.skylarkmast.daemon.journal;

/**
 * Limits and intervals of the journal.
 *
 * @param writesPerSecond this node's share of the key-value service's write rate
 * @param degradedAfterMs age of the oldest uncommitted record beyond which copies are sent to peers
 * @param copyIntervalMs time between rounds of sending copies
 */
public record JournalSettings(double writesPerSecond, long degradedAfterMs, long copyIntervalMs) {

    /** Below the key-value service's limit on operations per transaction. */
    public static final int MAX_TXN_PARTITIONS = 100;

    /** Record bytes; the key-value service accepts requests of up to 1.5 MiB. */
    public static final int MAX_TXN_BYTES = 1_000_000;

    /** Returns settings with default times for a share of {@code writesPerSecond}. */
    public static JournalSettings withWriteShare(double writesPerSecond) {
        return new JournalSettings(writesPerSecond, 1_000, 200);
    }
}
