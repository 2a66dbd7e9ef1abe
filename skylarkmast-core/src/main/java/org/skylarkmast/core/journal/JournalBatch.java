package org.skylarkmast.core.journal;

import java.util.List;

/**
 * Records of one partition that are committed together, as one value of the key-value service.
 *
 * <p>A batch never changes once it was sent, so that sending it again is idempotent.
 *
 * @param writeId unique to this batch; tells after a lost answer whose batch is stored
 * @param epoch epoch of the owner that wrote it
 * @param firstSequence sequence of its first record; the others follow without a gap
 * @param records at least one
 */
public record JournalBatch(String writeId, long epoch, long firstSequence, List<byte[]> records) {

    public JournalBatch {
        records = List.copyOf(records);
        if (records.isEmpty()) {
            throw new IllegalArgumentException("a batch holds at least one record");
        }
    }

    /** The sequence of its last record, which is also its key. */
    public long lastSequence() {
        return firstSequence + records.size() - 1;
    }
}
