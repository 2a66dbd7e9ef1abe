package org.skylarkmast.daemon.journal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.skylarkmast.core.journal.JournalBatch;
import org.skylarkmast.core.journal.PartitionLog;
import org.skylarkmast.core.store.Condition;
import org.skylarkmast.core.store.StoreKeys;
import org.skylarkmast.core.store.Write;

/**
 * The part of a flush that concerns one partition.
 *
 * @param claimRevision revision of the ownership record on which the write of the batch depends
 */
record FlushPart(PartitionLog log, JournalBatch batch, long claimRevision) {

    /**
     * Chooses the parts of the next flush, starting with the log that has waited longest, up to the
     * limits of one transaction.
     *
     * @param dirty logs with uncommitted records, longest waiting first
     */
    static List<FlushPart> choose(Iterable<PartitionLog> dirty, Supplier<String> writeIds) {
        List<FlushPart> parts = new ArrayList<>();
        long bytes = 0;
        for (PartitionLog log : dirty) {
            if (log.suspended()) {
                continue;
            }
            JournalBatch batch = log.nextBatch(writeIds, JournalSettings.MAX_TXN_BYTES);
            long batchBytes = batch.records().stream().mapToLong(record -> record.length).sum();
            if (!parts.isEmpty() && bytes + batchBytes > JournalSettings.MAX_TXN_BYTES) {
                continue;
            }
            bytes += batchBytes;
            parts.add(new FlushPart(log, batch, log.claimRevision()));
            if (parts.size() == JournalSettings.MAX_TXN_PARTITIONS) {
                break;
            }
        }
        return parts;
    }

    /** Holds until the partition is claimed again, by another owner or by this one. */
    Condition condition() {
        return new Condition.ModRevisionIs(StoreKeys.partition(log.partition()), claimRevision);
    }

    Write write() {
        String key = StoreKeys.journalRecord(log.partition(), batch.lastSequence());
        return new Write.Put(key, BatchCodec.encode(batch), 0);
    }
}
