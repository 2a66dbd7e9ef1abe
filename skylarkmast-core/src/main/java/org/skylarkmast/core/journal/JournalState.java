package org.skylarkmast.core.journal;

import java.util.List;

/**
 * What a journal was found to hold when its new owner read it.
 *
 * @param head the snapshot in force
 * @param headRevision revision of the head's last write, or 0 if there is none
 * @param committedSequence sequence of the last stored record
 * @param replay the contents, copies included
 * @param copies records found only at peers, which follow the stored ones and are yet to be stored
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
