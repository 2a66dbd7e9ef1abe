package org.skylarkmast.core.journal;

/**
 * Identifies the current snapshot of a partition.
 *
 * @param generation number of the snapshot; increases with every snapshot attempt
 * @param chunkCount number of chunks of the snapshot; further stored chunks are remains of
 *     interrupted attempts
 * @param throughSequence sequence of the last record whose effect the snapshot contains
 * @param epoch epoch of the owner that wrote the snapshot; copies of earlier epochs are superseded
 */
public record SnapshotHead(long generation, int chunkCount, long throughSequence, long epoch) {

    /** The head of a partition without a snapshot. */
    public static final SnapshotHead NONE = new SnapshotHead(0, 0, 0, 0);
}
