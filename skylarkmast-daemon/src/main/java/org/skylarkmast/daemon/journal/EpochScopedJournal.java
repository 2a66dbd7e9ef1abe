package org.skylarkmast.daemon.journal;

import java.util.List;
import java.util.function.Consumer;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.journal.Journal;
import org.skylarkmast.core.journal.PartitionLog;

/** A journal that accepts records and snapshots only for logs opened at one epoch. Thread-safe. */
final class EpochScopedJournal implements Journal {
    private final JournalWriter writer;
    private final long epoch;

    EpochScopedJournal(JournalWriter writer, long epoch) {
        this.writer = writer;
        this.epoch = epoch;
    }

    @Override
    public void append(int partition, byte[] record, Consumer<AppendOutcome> progress) {
        writer.append(partition, this::openedAtEpoch, record, progress);
    }

    @Override
    public void snapshot(
            int partition, long throughSequence, List<byte[]> chunks, Consumer<Boolean> done) {
        writer.snapshot(partition, this::openedAtEpoch, throughSequence, chunks, done);
    }

    @Override
    public Journal scopedTo(int partition, long acquiredEpoch) {
        return writer.scopedTo(partition, acquiredEpoch);
    }

    @Override
    public boolean degraded() {
        return writer.degraded();
    }

    private boolean openedAtEpoch(PartitionLog log) {
        return log.acquiredEpoch() == epoch;
    }
}
