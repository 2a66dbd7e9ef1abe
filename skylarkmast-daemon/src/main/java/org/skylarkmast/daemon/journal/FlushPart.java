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
 * One partition's part of a flush.
 *
 * @param claimRevision revision of the partition record under which the batch is sent
 */
record FlushPart(PartitionLog log, JournalBatch batch, long claimRevision) {

    /** The parts of the next flush: what waits longest, as much as one transaction holds. */
    static List<FlushPart> choose(Iterable<PartitionLog> dirty, Supplier<String> writeIds) {
        List<FlushPart> parts = new ArrayList<>();
        long bytes = 0;
        for (PartitionLog log : dirty) {
            if (log.suspended()) {
                continue;
            }
            JournalBatch batch = log.nextBatch(writeIds, JournalSettings.BYTES_AT_ONCE);
            long batchBytes = batch.records().stream().mapToLong(record -> record.length).sum();
            if (!parts.isEmpty() && bytes + batchBytes > JournalSettings.BYTES_AT_ONCE) {
                continue;
            }
            bytes += batchBytes;
            parts.add(new FlushPart(log, batch, log.claimRevision()));
            if (parts.size() == JournalSettings.PARTITIONS_AT_ONCE) {
                break;
            }
        }
        return parts;
    }

    /** Holds while no other owner, and no later claim of this one, has the partition. */
    Condition condition() {
        return new Condition.ModRevisionIs(StoreKeys.partition(log.partition()), claimRevision);
    }

    Write write() {
        String key = StoreKeys.journalRecord(log.partition(), batch.lastSequence());
        return new Write.Put(key, BatchCodec.encode(batch), 0);
    }
}
