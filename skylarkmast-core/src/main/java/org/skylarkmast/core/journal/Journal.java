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

    /** Whether the key-value service has not taken records for longer than it normally does. */
    boolean degraded();

    /** Largest record or chunk, below the service's largest value. */
    int MAX_RECORD_BYTES = 900_000;
}
