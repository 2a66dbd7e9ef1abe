package org.skylarkmast.core.journal;

import java.util.List;

/**
 * Records of one partition that are committed together, as one value of the key-value service.
 *
 * <p>A batch does not change once it was sent, so that sending it again is idempotent.
 *
 * @param writeId unique id of this batch; identifies the stored batch if the answer to a write was
 *     lost
 * @param epoch epoch of the owner that wrote it
 * @param firstSequence sequence of the first record; the others follow without a gap
 * @param records records in order; at least one
 */
public record JournalBatch(String writeId, long epoch, long firstSequence, List<byte[]> records) {

    public JournalBatch {
        records = List.copyOf(records);
        if (records.isEmpty()) {
            throw new IllegalArgumentException(
                    "journal batch has no records; at least one is required");
        }
    }

    /** The sequence of the last record, which also determines the key of the batch. */
    public long lastSequence() {
        return firstSequence + records.size() - 1;
    }
}
