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
 * Commits records of all owned partitions in groups, one transaction at a time.
 *
 * <p>A flush takes effect only for partitions whose record is unchanged since this node claimed
 * them. An answer that was lost is settled by sending the same batches again, which is idempotent;
 * a partition that turns out to be claimed by another owner meanwhile is settled by reading the
 * batch's write id back. All state belongs to the journal's loop; public methods may be called from
 * any thread.
 */
public final class JournalWriter implements Journal {
    private static final Logger LOG = LoggerFactory.getLogger(JournalWriter.class);
    private static final long NS_PER_MS = 1_000_000L;
    private static final long SETTLE_RETRY_NS = 100 * NS_PER_MS;

    /** Told that another owner has a partition. */
    @FunctionalInterface
    public interface FenceListener {

        /** The partition claimed at {@code claimRevision} is another owner's now. */
        void fenced(int partition, long claimRevision);
    }

    private final KeyValueStore store;
    private final EventLoop loop;
    private final Executor blocking;
    private final LongSupplier nowNs;
    private final Supplier<String> writeIds;
    private final FlushPacer pacer;
    private final SnapshotWriter snapshots;
    private final CopySender copies;

    private final Map<Integer, PartitionLog> logs = new HashMap<>();
    private final LinkedHashMap<Integer, PartitionLog> dirty = new LinkedHashMap<>();
    private final Map<Integer, Runnable> whenFlushed = new HashMap<>();
    private List<FlushPart> underWay = List.of();
    private boolean flushScheduled;
    private FenceListener fenceListener = (partition, claimRevision) -> {};

    /**
     * Creates a writer without partitions.
     *
     * @param loop owns all state; callbacks run on it
     * @param blocking runs calls to the store and to peers, each on a thread of its own
     * @param nowNs monotonic clock
     * @param writeIds source of unique ids
     * @param peers takes copies while the store does not take records
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
        snapshots = new SnapshotWriter(store, loop, blocking);
        copies = new CopySender(peers, loop, blocking, nowNs, settings, logs);
    }

    /**
     * Starts watching for records that wait too long; call once, before partitions are opened.
     *
     * @param listener told on the loop of partitions found to be another owner's
     */
    public void start(FenceListener listener) {
        loop.execute(
                () -> {
                    fenceListener = listener;
                    copies.round();
                });
    }

    /** Takes records of a partition that was just claimed and read. */
    public void open(int partition, long claimRevision, long epoch, JournalState state) {
        loop.execute(
                () -> {
                    PartitionLog log =
                            new PartitionLog(
                                    partition, epoch, claimRevision, state, nowNs.getAsLong());
                    logs.put(partition, log);
                    copies.opened(log, state);
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

    /** Goes on with the partition under a new claim of this node. */
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

    /** Ends the partition: what is not committed is reported as fenced. */
    public void close(int partition) {
        loop.execute(
                () -> {
                    PartitionLog log = logs.get(partition);
                    if (log != null) {
                        remove(log);
                        if (underWay.stream().noneMatch(part -> part.log() == log)) {
                            conclude(log);
                        }
                    }
                });
    }

    /** Runs {@code task} on the loop once all records of the partition are settled. */
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
        return new HeldJournal(this, epoch);
    }

    @Override
    public boolean degraded() {
        return copies.degraded();
    }

    /** Appends to the log of {@code partition} if it is held and {@code wanted}. */
    void append(
            int partition,
            Predicate<PartitionLog> wanted,
            byte[] record,
            Consumer<AppendOutcome> progress) {
        if (record.length > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException("record of " + record.length + " bytes");
        }
        loop.execute(
                () -> {
                    PartitionLog log = logs.get(partition);
                    if (log == null || !wanted.test(log)) {
                        progress.accept(new AppendOutcome.Fenced());
                    } else {
                        log.append(record, progress, nowNs.getAsLong());
                        markDirty(log);
                    }
                });
    }

    /** Writes a snapshot of the log of {@code partition} if it is held and {@code wanted}. */
    void snapshot(
            int partition,
            Predicate<PartitionLog> wanted,
            long throughSequence,
            List<byte[]> chunks,
            Consumer<Boolean> done) {
        List<byte[]> copy = List.copyOf(chunks);
        loop.execute(
                () -> {
                    PartitionLog log = logs.get(partition);
                    if (log == null
                            || !wanted.test(log)
                            || throughSequence > log.committedSequence()) {
                        done.accept(false);
                    } else {
                        snapshots.write(log, throughSequence, copy, done);
                    }
                });
    }

    private void markDirty(PartitionLog log) {
        if (log.dirty()) {
            dirty.putIfAbsent(log.partition(), log);
            flushSoon();
        }
    }

    private void flushSoon() {
        if (!underWay.isEmpty() || flushScheduled || dirty.isEmpty()) {
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
        underWay = parts;
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
                    loop.execute(() -> flushed(parts, outcome, startedNs));
                });
    }

    private void flushed(List<FlushPart> parts, StoreOutcome<TxnResult> outcome, long startedNs) {
        underWay = List.of();
        long now = nowNs.getAsLong();
        switch (outcome) {
            case StoreOutcome.Done<TxnResult>(TxnResult result) -> {
                pacer.writeCompleted(now - startedNs, now);
                if (result.succeeded()) {
                    parts.forEach(part -> settle(part.log()));
                } else {
                    fenceClaimed(parts, result);
                }
            }
            case StoreOutcome.NotApplied<TxnResult>(String reason) -> failed(reason, now);
            case StoreOutcome.Unknown<TxnResult>(String reason) -> {
                parts.forEach(part -> part.log().markOutcomeUnknown());
                failed(reason, now);
            }
        }
        parts.stream().map(FlushPart::log).filter(log -> !open(log)).forEach(this::conclude);
        flushSoon();
    }

    private void failed(String reason, long now) {
        pacer.writeFailed(now);
        LOG.atWarn().addKeyValue("event", "flush_failed").addKeyValue("reason", reason).log();
    }

    private void settle(PartitionLog log) {
        List<PendingRecord> records = log.markCommitted();
        if (open(log)) {
            copies.committed(log);
            dirty.remove(log.partition());
            if (log.dirty()) {
                dirty.put(log.partition(), log);
            } else {
                runWhenFlushed(log.partition());
            }
        }
        records.forEach(record -> record.report(new AppendOutcome.Committed(record.sequence())));
    }

    private void fenceClaimed(List<FlushPart> parts, TxnResult result) {
        Map<String, Long> revisions = new HashMap<>();
        for (StoreEntry entry : result.entries()) {
            revisions.put(entry.key(), entry.modRevision());
        }
        for (FlushPart part : parts) {
            PartitionLog log = part.log();
            long revision = revisions.getOrDefault(StoreKeys.partition(log.partition()), 0L);
            boolean sameClaim =
                    log.claimRevision() == part.claimRevision() && !log.suspended() && open(log);
            if (sameClaim && revision != part.claimRevision()) {
                remove(log);
                fenceListener.fenced(log.partition(), part.claimRevision());
            }
        }
    }

    private boolean open(PartitionLog log) {
        return logs.get(log.partition()) == log;
    }

    private void remove(PartitionLog log) {
        logs.remove(log.partition(), log);
        dirty.remove(log.partition(), log);
        snapshots.closed(log);
        runWhenFlushed(log.partition());
    }

    private void runWhenFlushed(int partition) {
        Runnable task = whenFlushed.remove(partition);
        if (task != null) {
            loop.execute(task);
        }
    }

    /** Reports the last outcomes of a log that was removed and has nothing under way. */
    private void conclude(PartitionLog log) {
        if (log.outcomeUnknown()) {
            readBack(log, log.openBatch().orElseThrow());
        } else {
            log.abandon().forEach(record -> record.report(new AppendOutcome.Fenced()));
        }
    }

    /** Finds out whether a batch whose answer was lost is stored; it cannot land any longer. */
    private void readBack(PartitionLog log, JournalBatch batch) {
        String key = StoreKeys.journalRecord(log.partition(), batch.lastSequence());
        blocking.execute(
                () -> {
                    StoreOutcome<RangeResult> outcome = store.read(key);
                    loop.execute(() -> wasReadBack(log, batch, outcome));
                });
    }

    private void wasReadBack(
            PartitionLog log, JournalBatch batch, StoreOutcome<RangeResult> outcome) {
        switch (outcome) {
            case StoreOutcome.Done<RangeResult>(RangeResult result) -> {
                boolean stored =
                        result.entries().stream()
                                .map(entry -> BatchCodec.decode(entry.value()).writeId())
                                .anyMatch(batch.writeId()::equals);
                if (stored) {
                    settle(log);
                }
                log.abandon().forEach(record -> record.report(new AppendOutcome.Fenced()));
            }
            case StoreOutcome.NotApplied<RangeResult>(String reason) ->
                    loop.schedule(() -> readBack(log, batch), SETTLE_RETRY_NS);
            case StoreOutcome.Unknown<RangeResult>(String reason) ->
                    loop.schedule(() -> readBack(log, batch), SETTLE_RETRY_NS);
        }
    }
}
