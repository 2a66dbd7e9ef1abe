package org.skylarkmast.daemon.journal;

/**
 * Bounds of the journal.
 *
 * @param writesPerSecond this node's share of the key-value service's write rate
 * @param degradedAfterMs age of the oldest waiting record at which copies go to peers
 * @param copyIntervalMs pause between rounds of copies
 */
public record JournalSettings(double writesPerSecond, long degradedAfterMs, long copyIntervalMs) {

    /** Partitions in one transaction, within the service's bound on operations. */
    public static final int PARTITIONS_AT_ONCE = 100;

    /** Record bytes in one transaction; the service takes requests of up to 1.5 MiB. */
    public static final int BYTES_AT_ONCE = 1_000_000;

    /** Settings with the usual times for a share of {@code writesPerSecond}. */
    public static JournalSettings withWriteShare(double writesPerSecond) {
        return new JournalSettings(writesPerSecond, 1_000, 200);
    }
}
