package org.skylarkmast.daemon.telemetry;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.journal.Journal;

/** A journal decorator that measures the time to commit each record; thread-safe. */
public final class MeteredJournal implements Journal {
    private final Journal journal;
    private final DaemonMetrics metrics;
    private final LongSupplier clockNs;

    /** Measures {@code journal} with {@code clockNs}, a monotonic clock. */
    public MeteredJournal(Journal journal, DaemonMetrics metrics, LongSupplier clockNs) {
        this.journal = journal;
        this.metrics = metrics;
        this.clockNs = clockNs;
    }

    @Override
    public void append(int partition, byte[] record, Consumer<AppendOutcome> progress) {
        long appendedAtNs = clockNs.getAsLong();
        journal.append(
                partition,
                record,
                outcome -> {
                    if (outcome instanceof AppendOutcome.Committed) {
                        metrics.recordJournalFlush(1, clockNs.getAsLong() - appendedAtNs);
                    }
                    progress.accept(outcome);
                });
    }

    @Override
    public void snapshot(
            int partition, long throughSequence, List<byte[]> chunks, Consumer<Boolean> done) {
        journal.snapshot(partition, throughSequence, chunks, done);
    }

    @Override
    public Journal scopedTo(int partition, long epoch) {
        return new MeteredJournal(journal.scopedTo(partition, epoch), metrics, clockNs);
    }

    @Override
    public boolean degraded() {
        return journal.degraded();
    }
}
