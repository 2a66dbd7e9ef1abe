package org.skylarkmast.core.journal;

import java.util.List;

/**
 * The journal contents from which a new owner restores a partition.
 *
 * @param snapshotChunks chunks of the latest snapshot; empty if there is none
 * @param records records after the snapshot, in order, including those held only by peers
 * @param lastSequence sequence of the last record, or 0 if there is none
 */
public record ReplayedPartition(
        List<byte[]> snapshotChunks, List<byte[]> records, long lastSequence) {

    public ReplayedPartition {
        snapshotChunks = List.copyOf(snapshotChunks);
        records = List.copyOf(records);
    }
}
