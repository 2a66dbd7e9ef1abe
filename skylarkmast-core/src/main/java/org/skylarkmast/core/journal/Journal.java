package org.skylarkmast.core.journal;

import java.util.List;
import java.util.function.Consumer;

/**
 * Appends records of the partitions this node owns.
 *
 * <p>Thread-safe. Callbacks come in append order per partition, on the journal's own thread.
 */
public interface Journal {

    /**
     * Appends {@code record} after all earlier ones of the partition.
     *
     * @param progress told of each stage; the last one told is final
     */
    void append(int partition, byte[] record, Consumer<AppendOutcome> progress);

    /**
     * Replaces all records of the partition up to {@code throughSequence} by a snapshot.
     *
     * @param chunks the snapshot; each at most {@link #MAX_RECORD_BYTES}
     * @param done told whether the snapshot is in force
     */
    void snapshot(int partition, long throughSequence, List<byte[]> chunks, Consumer<Boolean> done);

    /**
     * The journal as seen by whoever serves {@code partition} since it was acquired at {@code
     * epoch}.
     *
     * <p>Once the partition was lost it takes no records or snapshots, even if this node owns the
     * partition again: state that was served before is stale then. It stays in use when the
     * partition is reacquired. Whoever learns of a loss later than the journal does has to use it.
     */
    Journal heldSince(int partition, long epoch);

    /** Whether the key-value service has not taken records for longer than it normally does. */
    boolean degraded();

    /** Largest record or chunk, below the service's largest value. */
    int MAX_RECORD_BYTES = 900_000;
}
