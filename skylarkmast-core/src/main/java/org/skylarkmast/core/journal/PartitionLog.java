package org.skylarkmast.core.journal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The uncommitted records of one owned partition and the known state of its journal.
 *
 * <p>At most one batch is open at a time; it does not change until it is committed or abandoned.
 * Not thread-safe: owned by the loop of the journal.
 */
public final class PartitionLog {
    private final int partition;
    private final long acquiredEpoch;
    private final Deque<PendingRecord> waiting = new ArrayDeque<>();
    private final List<PendingRecord> batched = new ArrayList<>();

    private long epoch;
    private long claimRevision;
    private boolean suspended;
    private long nextSequence;
    private long committedSequence;
    private SnapshotHead head;
    private long headRevision;
    private long lastGeneration;
    private JournalBatch batch;
    private boolean outcomeUnknown;

    /** A record that is not yet committed. */
    public static final class PendingRecord {
        private final long sequence;
        private final byte[] record;
        private final Consumer<AppendOutcome> progress;
        private final long appendedAtNs;
        private long copiedEpoch = -1;

        private PendingRecord(
                long sequence, byte[] record, Consumer<AppendOutcome> progress, long appendedAtNs) {
            this.sequence = sequence;
            this.record = record;
            this.progress = progress;
            this.appendedAtNs = appendedAtNs;
        }

        /** Its sequence in the journal of the partition. */
        public long sequence() {
            return sequence;
        }

        /** Reports {@code outcome} to the caller that appended the record. */
        public void report(AppendOutcome outcome) {
            progress.accept(outcome);
        }
    }

    /**
     * Creates the log of a partition that was just claimed and whose journal was read.
     *
     * @param epoch epoch of this owner
     * @param claimRevision revision at which the ownership record was written for this owner
     * @param state contents of the journal; the copies among them are appended again
     */
    public PartitionLog(
            int partition, long epoch, long claimRevision, JournalState state, long nowNs) {
        this.partition = partition;
        acquiredEpoch = epoch;
        this.epoch = epoch;
        this.claimRevision = claimRevision;
        committedSequence = state.committedSequence();
        nextSequence = committedSequence + 1;
        head = state.head();
        headRevision = state.headRevision();
        lastGeneration = head.generation();
        state.copies().forEach(copy -> append(copy.record(), outcome -> {}, nowNs));
    }

    /** Adds a record after all others of the partition. */
    public void append(byte[] record, Consumer<AppendOutcome> progress, long nowNs) {
        waiting.add(new PendingRecord(nextSequence, record, progress, nowNs));
        nextSequence++;
    }

    /** Whether there are uncommitted records. */
    public boolean dirty() {
        return batch != null || !waiting.isEmpty();
    }

    /**
     * Returns the open batch, or opens a new one if there is none.
     *
     * @param writeIds source of a unique id for a new batch
     * @param maxBytes maximum total size of the records in a new batch; a larger record forms a
     *     batch by itself
     */
    public JournalBatch nextBatch(Supplier<String> writeIds, int maxBytes) {
        if (batch == null) {
            long bytes = 0;
            while (!waiting.isEmpty()
                    && (batched.isEmpty() || bytes + waiting.peek().record.length <= maxBytes)) {
                bytes += waiting.peek().record.length;
                batched.add(waiting.poll());
            }
            List<byte[]> records = batched.stream().map(pending -> pending.record).toList();
            batch = new JournalBatch(writeIds.get(), epoch, batched.getFirst().sequence, records);
        }
        return batch;
    }

    /** The open batch, if any. */
    public Optional<JournalBatch> openBatch() {
        return Optional.ofNullable(batch);
    }

    /** Records that the answer to the open batch was lost, so that it may be stored. */
    public void markOutcomeUnknown() {
        outcomeUnknown = true;
    }

    /** Whether the open batch may be stored without an answer having confirmed it. */
    public boolean outcomeUnknown() {
        return outcomeUnknown;
    }

    /** Marks the open batch as committed and returns its records. */
    public List<PendingRecord> markCommitted() {
        committedSequence = batch.lastSequence();
        List<PendingRecord> committed = List.copyOf(batched);
        batched.clear();
        batch = null;
        outcomeUnknown = false;
        return committed;
    }

    /** Removes and returns all uncommitted records; this owner will not commit them. */
    public List<PendingRecord> abandon() {
        List<PendingRecord> abandoned = new ArrayList<>(batched);
        abandoned.addAll(waiting);
        batched.clear();
        waiting.clear();
        batch = null;
        outcomeUnknown = false;
        return abandoned;
    }

    /**
     * Stops sending until {@link #resume}, because this node's session was lost and its claim may
     * change.
     */
    public void suspend() {
        suspended = true;
    }

    /** Resumes sending under a new claim of the same owner. */
    public void resume(long newEpoch, long newClaimRevision) {
        epoch = newEpoch;
        claimRevision = newClaimRevision;
        suspended = false;
    }

    /**
     * Returns records that peers do not yet hold under the current epoch, oldest first.
     *
     * @param maxBytes maximum total size of the records; a larger first record is returned by
     *     itself
     */
    public List<PendingRecord> uncopied(long maxBytes) {
        List<PendingRecord> chosen = new ArrayList<>();
        long bytes = 0;
        List<PendingRecord> all = new ArrayList<>(batched);
        all.addAll(waiting);
        for (PendingRecord pending : all) {
            if (pending.copiedEpoch == epoch) {
                continue;
            }
            bytes += pending.record.length;
            if (bytes > maxBytes && !chosen.isEmpty()) {
                break;
            }
            chosen.add(pending);
        }
        return chosen;
    }

    /** Returns the copy of {@code pending} to send to peers. */
    public CopiedRecord copyOf(PendingRecord pending) {
        return new CopiedRecord(partition, epoch, pending.sequence, pending.record);
    }

    /**
     * Records that peers confirmed a copy made under {@code copyEpoch}.
     *
     * @return whether {@code pending} is still uncommitted, so that the copy is to be reported
     */
    public boolean markCopied(PendingRecord pending, long copyEpoch) {
        pending.copiedEpoch = copyEpoch;
        return pending.sequence > committedSequence;
    }

    /** When the oldest uncommitted record was appended; empty if there is none. */
    public Optional<Long> oldestAppendedAtNs() {
        PendingRecord oldest = batched.isEmpty() ? waiting.peek() : batched.getFirst();
        return Optional.ofNullable(oldest).map(pending -> pending.appendedAtNs);
    }

    /** Returns a new generation number for a snapshot attempt. */
    public long nextGeneration() {
        lastGeneration++;
        return lastGeneration;
    }

    /** Records that a new snapshot took effect. */
    public void headWritten(SnapshotHead newHead, long modRevision) {
        head = newHead;
        headRevision = modRevision;
    }

    /** The head of the current snapshot. */
    public SnapshotHead head() {
        return head;
    }

    /** Revision of the last write of the head, or 0 if there is none. */
    public long headRevision() {
        return headRevision;
    }

    /** The partition. */
    public int partition() {
        return partition;
    }

    /** The epoch at which the partition was acquired; the current epoch may be later. */
    public long acquiredEpoch() {
        return acquiredEpoch;
    }

    /** The current epoch of this owner. */
    public long epoch() {
        return epoch;
    }

    /** Revision of the ownership record that names this node as owner. */
    public long claimRevision() {
        return claimRevision;
    }

    /** Whether sending is stopped. */
    public boolean suspended() {
        return suspended;
    }

    /** Sequence of the last record known to be committed. */
    public long committedSequence() {
        return committedSequence;
    }
}
