package org.skylarkmast.daemon.journal;

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

    /** Holds while no other owner, and no later claim of this one, has the partition. */
    Condition condition() {
        return new Condition.ModRevisionIs(StoreKeys.partition(log.partition()), claimRevision);
    }

    Write write() {
        String key = StoreKeys.journalRecord(log.partition(), batch.lastSequence());
        return new Write.Put(key, BatchCodec.encode(batch), 0);
    }
}
