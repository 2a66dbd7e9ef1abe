package org.skylarkmast.daemon.journal;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.journal.FlushPacer;
import org.skylarkmast.core.journal.Journal;
import org.skylarkmast.core.journal.JournalBatch;
import org.skylarkmast.core.journal.JournalState;
import org.skylarkmast.core.journal.PartitionLog;
import org.skylarkmast.core.journal.PartitionLog.PendingRecord;
import org.skylarkmast.core.journal.PeerReplicator;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreKeys;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.skylarkmast.daemon.loop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Group-commits the records of all owned partitions, one transaction at a time.
 *
 * <p>A flush takes effect only if the ownership records of its partitions are unchanged since this
 * node claimed them. If its answer is lost, the same batches are sent again, which is idempotent.
 * If another owner claimed a partition in the meantime, the write id of the batch is read back to
 * find out whether it was stored. All state belongs to the loop of the journal; public methods may
 * be called from any thread.
 */
public final class JournalWriter implements Journal {
    private static final Logger LOG = LoggerFactory.getLogger(JournalWriter.class);
    private static final long NS_PER_MS = 1_000_000L;
    private static final long READ_BACK_RETRY_NS = 100 * NS_PER_MS;

    /** Receives the partitions found to be claimed by another owner. */
    @FunctionalInterface
    public interface FenceListener {

        /**
         * Another owner has claimed the partition that this node claimed at {@code claimRevision}.
         */
        void fenced(int partition, long claimRevision);
    }

    private final KeyValueStore store;
    private final EventLoop loop;
    private final Executor blocking;
    private final LongSupplier nowNs;
    private final Supplier<String> writeIds;
    private final FlushPacer pacer;
    private final SnapshotWriter snapshotWriter;
    private final CopySender copySender;

    private final Map<Integer, PartitionLog> logs = new HashMap<>();
    private final LinkedHashMap<Integer, PartitionLog> dirty = new LinkedHashMap<>();
    private final Map<Integer, Runnable> whenFlushed = new HashMap<>();
    private List<FlushPart> inFlight = List.of();
    private boolean flushScheduled;
    private FenceListener fenceListener = (partition, claimRevision) -> {};

    /**
     * Creates a writer without partitions.
     *
     * @param loop owns all state; callbacks run on it
     * @param blocking runs blocking calls to the store and to peers, each on a separate thread
     * @param nowNs monotonic clock
     * @param writeIds source of unique batch ids
     * @param peers receives copies while the store does not store records
     */
    public JournalWriter(
            KeyValueStore store,
            EventLoop loop,
            Executor blocking,
            LongSupplier nowNs,
            Supplier<String> writeIds,
            PeerReplicator peers,
            JournalSettings settings) {
        this.store = store;
        this.loop = loop;
        this.blocking = blocking;
        this.nowNs = nowNs;
        this.writeIds = writeIds;
        pacer = new FlushPacer(settings.writesPerSecond());
        snapshotWriter = new SnapshotWriter(store, loop, blocking);
        copySender = new CopySender(peers, loop, blocking, nowNs, settings, logs);
    }

    /**
     * Starts the rounds that copy overdue records to peers; must be called once, before partitions
     * are opened.
     *
     * @param listener called on the loop
     */
    public void start(FenceListener listener) {
        loop.execute(
                () -> {
                    fenceListener = listener;
                    copySender.runRound();
                });
    }

    /** Accepts records of a partition that was just claimed and whose journal was read. */
    public void open(int partition, long claimRevision, long epoch, JournalState state) {
        loop.execute(
                () -> {
                    PartitionLog log =
                            new PartitionLog(
                                    partition, epoch, claimRevision, state, nowNs.getAsLong());
                    logs.put(partition, log);
                    copySender.onOpened(log, state);
                    markDirty(log);
                });
    }

    /** Stops sending the partition's records until it is rebound or closed. */
    public void suspend(int partition) {
        loop.execute(
                () -> {
                    PartitionLog log = logs.get(partition);
                    if (log != null) {
                        log.suspend();
                    }
                });
    }

    /** Resumes the partition under a new claim of this node. */
    public void rebind(int partition, long claimRevision, long epoch) {
        loop.execute(
                () -> {
                    PartitionLog log = logs.get(partition);
                    if (log != null) {
                        log.resume(epoch, claimRevision);
                        markDirty(log);
                    }
                });
    }

    /** Closes the partition; records that are not committed are reported as fenced. */
    public void close(int partition) {
        loop.execute(
                () -> {
                    PartitionLog log = logs.get(partition);
                    if (log != null) {
                        remove(log);
                        if (inFlight.stream().noneMatch(part -> part.log() == log)) {
                            reportFinalOutcomes(log);
                        }
                    }
                });
    }

    /** Runs {@code task} on the loop once the partition has no uncommitted records or is closed. */
    public void whenFlushed(int partition, Runnable task) {
        loop.execute(
                () -> {
                    PartitionLog log = logs.get(partition);
                    if (log == null || !log.dirty()) {
                        task.run();
                    } else {
                        whenFlushed.put(partition, task);
                    }
                });
    }

    @Override
    public void append(int partition, byte[] record, Consumer<AppendOutcome> progress) {
        append(partition, log -> true, record, progress);
    }

    @Override
    public void snapshot(
            int partition, long throughSequence, List<byte[]> chunks, Consumer<Boolean> done) {
        snapshot(partition, log -> true, throughSequence, chunks, done);
    }

    @Override
    public Journal scopedTo(int partition, long epoch) {
        return new EpochScopedJournal(this, epoch);
    }

    @Override
    public boolean degraded() {
        return copySender.degraded();
    }

    /** Appends to the log of {@code partition} if it is open and satisfies {@code condition}. */
    void append(
            int partition,
            Predicate<PartitionLog> condition,
            byte[] record,
            Consumer<AppendOutcome> progress) {
        if (record.length > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException(
                    "record of " + record.length + " bytes exceeds MAX_RECORD_BYTES");
        }
        loop.execute(
                () -> {
                    PartitionLog log = logs.get(partition);
                    if (log == null || !condition.test(log)) {
                        progress.accept(new AppendOutcome.Fenced());
                    } else {
                        log.append(record, progress, nowNs.getAsLong());
                        markDirty(log);
                    }
                });
    }

    /**
     * Writes a snapshot of the log of {@code partition} if it is open and satisfies {@code
     * condition}.
     */
    void snapshot(
            int partition,
            Predicate<PartitionLog> condition,
            long throughSequence,
            List<byte[]> chunks,
            Consumer<Boolean> done) {
        List<byte[]> copy = List.copyOf(chunks);
        loop.execute(
                () -> {
                    PartitionLog log = logs.get(partition);
                    if (log == null
                            || !condition.test(log)
                            || throughSequence > log.committedSequence()) {
                        done.accept(false);
                    } else {
                        snapshotWriter.write(log, throughSequence, copy, done);
                    }
                });
    }

    private void markDirty(PartitionLog log) {
        if (log.dirty()) {
            dirty.putIfAbsent(log.partition(), log);
            scheduleFlush();
        }
    }

    private void scheduleFlush() {
        if (!inFlight.isEmpty() || flushScheduled || dirty.isEmpty()) {
            return;
        }
        flushScheduled = true;
        long delayNs = pacer.delayNs(nowNs.getAsLong());
        loop.schedule(
                () -> {
                    flushScheduled = false;
                    flush();
                },
                delayNs);
    }

    private void flush() {
        List<FlushPart> parts = FlushPart.choose(dirty.values(), writeIds);
        if (parts.isEmpty()) {
            return;
        }
        inFlight = parts;
        long startedNs = nowNs.getAsLong();
        pacer.writeStarted(startedNs);
        Txn txn =
                new Txn(
                        parts.stream().map(FlushPart::condition).toList(),
                        parts.stream().map(FlushPart::write).toList(),
                        parts.stream()
                                .map(part -> StoreKeys.partition(part.log().partition()))
                                .toList());
        blocking.execute(
                () -> {
                    StoreOutcome<TxnResult> outcome = store.commit(txn);
                    loop.execute(() -> onFlushOutcome(parts, outcome, startedNs));
                });
    }

    private void onFlushOutcome(
            List<FlushPart> parts, StoreOutcome<TxnResult> outcome, long startedNs) {
        inFlight = List.of();
        long currentNs = nowNs.getAsLong();
        switch (outcome) {
            case StoreOutcome.Done<TxnResult>(TxnResult result) -> {
                pacer.writeCompleted(currentNs - startedNs, currentNs);
                if (result.succeeded()) {
                    parts.forEach(part -> onCommitted(part.log()));
                } else {
                    fencePartitionsOfOtherOwners(parts, result);
                }
            }
            case StoreOutcome.NotApplied<TxnResult>(String reason) ->
                    onFlushFailed(reason, currentNs);
            case StoreOutcome.Unknown<TxnResult>(String reason) -> {
                parts.forEach(part -> part.log().markOutcomeUnknown());
                onFlushFailed(reason, currentNs);
            }
        }
        parts.stream()
                .map(FlushPart::log)
                .filter(log -> !isOpen(log))
                .forEach(this::reportFinalOutcomes);
        scheduleFlush();
    }

    private void onFlushFailed(String reason, long currentNs) {
        pacer.writeFailed(currentNs);
        LOG.atWarn().addKeyValue("event", "flush_failed").addKeyValue("reason", reason).log();
    }

    private void onCommitted(PartitionLog log) {
        List<PendingRecord> records = log.markCommitted();
        if (isOpen(log)) {
            copySender.onCommitted(log);
            dirty.remove(log.partition());
            if (log.dirty()) {
                dirty.put(log.partition(), log);
            } else {
                runWhenFlushed(log.partition());
            }
        }
        records.forEach(record -> record.report(new AppendOutcome.Committed(record.sequence())));
    }

    private void fencePartitionsOfOtherOwners(List<FlushPart> parts, TxnResult result) {
        Map<String, Long> revisions = new HashMap<>();
        for (StoreEntry entry : result.entries()) {
            revisions.put(entry.key(), entry.modRevision());
        }
        for (FlushPart part : parts) {
            PartitionLog log = part.log();
            long revision = revisions.getOrDefault(StoreKeys.partition(log.partition()), 0L);
            boolean sameClaim =
                    log.claimRevision() == part.claimRevision() && !log.suspended() && isOpen(log);
            if (sameClaim && revision != part.claimRevision()) {
                remove(log);
                fenceListener.fenced(log.partition(), part.claimRevision());
            }
        }
    }

    private boolean isOpen(PartitionLog log) {
        return logs.get(log.partition()) == log;
    }

    private void remove(PartitionLog log) {
        logs.remove(log.partition(), log);
        dirty.remove(log.partition(), log);
        snapshotWriter.onLogClosed(log);
        runWhenFlushed(log.partition());
    }

    private void runWhenFlushed(int partition) {
        Runnable task = whenFlushed.remove(partition);
        if (task != null) {
            loop.execute(task);
        }
    }

    /** Reports the final outcomes of a removed log that has no flush in flight. */
    private void reportFinalOutcomes(PartitionLog log) {
        if (log.outcomeUnknown()) {
            readBack(log, log.openBatch().orElseThrow());
        } else {
            log.abandon().forEach(record -> record.report(new AppendOutcome.Fenced()));
        }
    }

    /**
     * Finds out whether a batch whose answer was lost is stored. If not, it can no longer take
     * effect.
     */
    private void readBack(PartitionLog log, JournalBatch batch) {
        String key = StoreKeys.journalRecord(log.partition(), batch.lastSequence());
        blocking.execute(
                () -> {
                    StoreOutcome<RangeResult> outcome = store.read(key);
                    loop.execute(() -> onReadBack(log, batch, outcome));
                });
    }

    private void onReadBack(
            PartitionLog log, JournalBatch batch, StoreOutcome<RangeResult> outcome) {
        switch (outcome) {
            case StoreOutcome.Done<RangeResult>(RangeResult result) -> {
                boolean stored =
                        result.entries().stream()
                                .map(entry -> BatchCodec.decode(entry.value()).writeId())
                                .anyMatch(batch.writeId()::equals);
                if (stored) {
                    onCommitted(log);
                }
                log.abandon().forEach(record -> record.report(new AppendOutcome.Fenced()));
            }
            case StoreOutcome.NotApplied<RangeResult>(String reason) ->
                    loop.schedule(() -> readBack(log, batch), READ_BACK_RETRY_NS);
            case StoreOutcome.Unknown<RangeResult>(String reason) ->
                    loop.schedule(() -> readBack(log, batch), READ_BACK_RETRY_NS);
        }
    }
}
