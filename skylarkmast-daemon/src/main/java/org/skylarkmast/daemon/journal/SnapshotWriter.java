package org.skylarkmast.daemon.journal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.skylarkmast.core.journal.PartitionLog;
import org.skylarkmast.core.journal.SnapshotHead;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.store.Condition;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreKeys;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.skylarkmast.core.store.Write;
import org.skylarkmast.daemon.loop.EventLoop;

/**
 * Writes snapshots, one transaction at a time.
 *
 * <p>The chunks of a new generation are stored first; then one transaction writes the head and
 * deletes the records and chunks that the snapshot replaces. The previous snapshot is current until
 * that transaction commits. A crash before then leaves only chunks that are never read. Owned by
 * the loop of the journal.
 */
final class SnapshotWriter {
    private static final long RETRY_NS = 200_000_000L;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final Executor blocking;
    private final Deque<Job> jobs = new ArrayDeque<>();

    /** A snapshot to be written. */
    private static final class Job {
        private final PartitionLog log;
        private final SnapshotHead head;
        private final List<byte[]> chunks;
        private final Consumer<Boolean> done;
        private int chunksStored;
        private boolean closed;

        private Job(
                PartitionLog log, SnapshotHead head, List<byte[]> chunks, Consumer<Boolean> done) {
            this.log = log;
            this.head = head;
            this.chunks = chunks;
            this.done = done;
        }
    }

    /** One transaction of a job, which stores {@code chunks} chunks or, if 0, the head. */
    private record Step(Txn txn, int chunks, long claimRevision) {

        boolean putsHead() {
            return chunks == 0;
        }
    }

    SnapshotWriter(KeyValueStore store, EventLoop loop, Executor blocking) {
        this.store = store;
        this.loop = loop;
        this.blocking = blocking;
    }

    /** Writes a snapshot after those requested earlier. */
    void write(
            PartitionLog log, long throughSequence, List<byte[]> chunks, Consumer<Boolean> done) {
        SnapshotHead head =
                new SnapshotHead(log.nextGeneration(), chunks.size(), throughSequence, log.epoch());
        jobs.add(new Job(log, head, chunks, done));
        if (jobs.size() == 1) {
            startNextStep();
        }
    }

    /** Called when {@code log} was closed; its snapshots that are not yet current fail. */
    void onLogClosed(PartitionLog log) {
        jobs.stream().filter(job -> job.log == log).forEach(job -> job.closed = true);
    }

    private void startNextStep() {
        Job job = jobs.peek();
        if (job == null) {
            return;
        }
        if (job.closed || job.head.throughSequence() < job.log.head().throughSequence()) {
            finish(job, false);
        } else if (job.log.suspended()) {
            loop.schedule(this::startNextStep, RETRY_NS);
        } else {
            Step step = job.chunksStored < job.chunks.size() ? chunkStep(job) : headStep(job);
            blocking.execute(
                    () -> {
                        StoreOutcome<TxnResult> outcome = store.commit(step.txn());
                        loop.execute(() -> onOutcome(job, step, outcome));
                    });
        }
    }

    private void onOutcome(Job job, Step step, StoreOutcome<TxnResult> outcome) {
        switch (outcome) {
            case StoreOutcome.Done<TxnResult>(TxnResult result) -> {
                if (result.succeeded()) {
                    onSucceeded(job, step, result.revision());
                } else {
                    onConditionFailed(job, step, result);
                }
            }
            // The same step is sent again; both kinds of steps are idempotent.
            case StoreOutcome.NotApplied<TxnResult>(String reason) ->
                    loop.schedule(this::startNextStep, RETRY_NS);
            case StoreOutcome.Unknown<TxnResult>(String reason) ->
                    loop.schedule(this::startNextStep, RETRY_NS);
        }
    }

    private void onSucceeded(Job job, Step step, long revision) {
        if (step.putsHead()) {
            job.log.headWritten(job.head, revision);
            finish(job, true);
        } else {
            job.chunksStored += step.chunks();
            startNextStep();
        }
    }

    private void onConditionFailed(Job job, Step step, TxnResult result) {
        StoreEntry storedHead = null;
        long partitionRevision = 0;
        for (StoreEntry entry : result.entries()) {
            if (entry.key().equals(StoreKeys.journalHead(job.log.partition()))) {
                storedHead = entry;
            } else {
                partitionRevision = entry.modRevision();
            }
        }
        boolean headStored =
                storedHead != null
                        && JsonUtil.fromBytes(storedHead.value(), SnapshotHead.class)
                                .equals(job.head);
        if (step.putsHead() && headStored && partitionRevision == step.claimRevision()) {
            onSucceeded(job, step, storedHead.modRevision());
        } else if (job.closed || job.log.suspended()) {
            startNextStep();
        } else if (job.log.claimRevision() != step.claimRevision()) {
            startNextStep();
        } else {
            finish(job, false);
        }
    }

    private void finish(Job job, boolean tookEffect) {
        jobs.remove(job);
        job.done.accept(tookEffect);
        loop.execute(this::startNextStep);
    }

    private static Step chunkStep(Job job) {
        List<Write> writes = new ArrayList<>();
        long bytes = 0;
        for (int index = job.chunksStored; index < job.chunks.size(); index++) {
            byte[] chunk = job.chunks.get(index);
            bytes += chunk.length;
            boolean full =
                    bytes > JournalSettings.MAX_TXN_BYTES
                            || writes.size() == JournalSettings.MAX_TXN_PARTITIONS;
            if (full && !writes.isEmpty()) {
                break;
            }
            String key = StoreKeys.journalChunk(job.log.partition(), job.head.generation(), index);
            writes.add(new Write.Put(key, chunk, 0));
        }
        return step(job, List.of(claimUnchanged(job.log)), writes, writes.size());
    }

    private static Step headStep(Job job) {
        int partition = job.log.partition();
        long generation = job.head.generation();
        String headKey = StoreKeys.journalHead(partition);
        String snapshotPrefix = StoreKeys.journalSnapshots(partition);
        String firstKeptKey = StoreKeys.journalSnapshot(partition, generation);
        Condition sameHead =
                job.log.headRevision() == 0
                        ? new Condition.KeyAbsent(headKey)
                        : new Condition.ModRevisionIs(headKey, job.log.headRevision());
        List<Write> writes =
                List.of(
                        new Write.Put(headKey, JsonUtil.toBytes(job.head), 0),
                        new Write.DeleteRange(
                                StoreKeys.journalRecords(partition),
                                StoreKeys.journalRecord(partition, job.head.throughSequence() + 1)),
                        new Write.DeleteRange(snapshotPrefix, firstKeptKey),
                        new Write.DeleteRange(
                                StoreKeys.journalChunk(partition, generation, job.chunks.size()),
                                StoreKeys.endOfPrefix(snapshotPrefix)));
        return step(job, List.of(claimUnchanged(job.log), sameHead), writes, 0);
    }

    private static Step step(Job job, List<Condition> conditions, List<Write> writes, int chunks) {
        int partition = job.log.partition();
        List<String> readOnFailure =
                List.of(StoreKeys.partition(partition), StoreKeys.journalHead(partition));
        return new Step(
                new Txn(conditions, writes, readOnFailure), chunks, job.log.claimRevision());
    }

    private static Condition claimUnchanged(PartitionLog log) {
        return new Condition.ModRevisionIs(
                StoreKeys.partition(log.partition()), log.claimRevision());
    }
}
