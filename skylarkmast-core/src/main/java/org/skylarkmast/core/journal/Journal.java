package org.skylarkmast.core.journal;

import java.util.List;
import java.util.function.Consumer;

/**
 * Appends records of the partitions this node owns.
 *
 * <p>Thread-safe. Callbacks are called in append order for each partition, on the thread of the
 * journal.
 */
public interface Journal {

    /**
     * Appends {@code record} after all earlier records of the partition.
     *
     * @param progress called with each outcome; the last one is final
     */
    void append(int partition, byte[] record, Consumer<AppendOutcome> progress);

    /**
     * Replaces all records of the partition up to {@code throughSequence} by a snapshot.
     *
     * @param chunks chunks of the snapshot; each at most {@link #MAX_RECORD_BYTES} long
     * @param done called with true if the snapshot took effect, otherwise with false
     */
    void snapshot(int partition, long throughSequence, List<byte[]> chunks, Consumer<Boolean> done);

    /**
     * Returns a journal for the component that has served {@code partition} since it was acquired
     * at {@code epoch}.
     *
     * <p>Once the partition is lost, the returned journal accepts no records or snapshots, even if
     * this node acquires the partition again, since the state in memory from before the loss is
     * then stale. It remains valid when the partition is reacquired. A component that may learn of
     * a loss later than the journal must use it.
     */
    Journal scopedTo(int partition, long epoch);

    /**
     * Whether the key-value service has stored no records for longer than a write normally takes.
     */
    boolean degraded();

    /** Largest size of a record or chunk; below the largest value that the service accepts. */
    int MAX_RECORD_BYTES = 900_000;
}
