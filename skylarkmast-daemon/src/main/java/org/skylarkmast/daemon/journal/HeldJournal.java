package org.skylarkmast.daemon.journal;

import java.util.List;
import java.util.function.Consumer;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.journal.Journal;
import org.skylarkmast.core.journal.PartitionLog;

/** A journal that takes records only for logs opened at one epoch; thread-safe. */
final class HeldJournal implements Journal {
    private final JournalWriter writer;
    private final long epoch;

    HeldJournal(JournalWriter writer, long epoch) {
        this.writer = writer;
        this.epoch = epoch;
    }

    @Override
    public void append(int partition, byte[] record, Consumer<AppendOutcome> progress) {
        writer.append(partition, this::sameHold, record, progress);
    }

    @Override
    public void snapshot(
            int partition, long throughSequence, List<byte[]> chunks, Consumer<Boolean> done) {
        writer.snapshot(partition, this::sameHold, throughSequence, chunks, done);
    }

    @Override
    public Journal scopedTo(int partition, long heldEpoch) {
        return writer.scopedTo(partition, heldEpoch);
    }

    @Override
    public boolean degraded() {
        return writer.degraded();
    }

    private boolean sameHold(PartitionLog log) {
        return log.acquiredEpoch() == epoch;
    }
}
