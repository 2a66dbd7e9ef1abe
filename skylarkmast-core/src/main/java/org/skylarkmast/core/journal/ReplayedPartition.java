package org.skylarkmast.core.journal;

import java.util.List;

/**
 * What a new owner reads of a partition.
 *
 * @param snapshotChunks the latest snapshot, or empty
 * @param records records after the snapshot, in order, copies held by peers included
 * @param lastSequence sequence of the last record, or 0
 */
public record ReplayedPartition(
        List<byte[]> snapshotChunks, List<byte[]> records, long lastSequence) {

    public ReplayedPartition {
        snapshotChunks = List.copyOf(snapshotChunks);
        records = List.copyOf(records);
    }
}
