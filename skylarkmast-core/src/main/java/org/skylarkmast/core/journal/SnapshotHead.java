package org.skylarkmast.core.journal;

/**
 * Names the snapshot that is in force for a partition.
 *
 * @param generation number of the snapshot; grows with every attempt of an owner
 * @param chunkCount chunks that belong to it; further stored chunks are left-overs
 * @param throughSequence last record whose effect the snapshot holds
 * @param epoch epoch of the owner that wrote it; copies of earlier epochs are superseded
 */
public record SnapshotHead(long generation, int chunkCount, long throughSequence, long epoch) {

    /** The head of a partition without a snapshot. */
    public static final SnapshotHead NONE = new SnapshotHead(0, 0, 0, 0);
}
