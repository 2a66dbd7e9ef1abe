package org.skylarkmast.core.journal;

import java.util.List;

/**
 * The contents of a partition's journal as read by its new owner.
 *
 * @param head head of the current snapshot
 * @param headRevision revision of the last write of the head, or 0 if there is none
 * @param committedSequence sequence of the last stored record
 * @param replay the contents to replay, including {@code copies}
 * @param copies records held only by peers, which follow the stored records and are not yet stored
 */
public record JournalState(
        SnapshotHead head,
        long headRevision,
        long committedSequence,
        ReplayedPartition replay,
        List<CopiedRecord> copies) {

    public JournalState {
        copies = List.copyOf(copies);
    }
}
