package org.skylarkmast.core.journal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The records of one owned partition that are not committed yet, and what is known of its journal.
 *
 * <p>At most one batch is open for sending; it stays the same until it is settled. Not thread-safe:
 * owned by the journal's loop.
 */
public final class PartitionLog {
    private final int partition;
    private final long openedEpoch;
    private final Deque<PendingRecord> waiting = new ArrayDeque<>();
    private final List<PendingRecord> sealed = new ArrayList<>();

    private long epoch;
    private long claimRevision;
    private boolean suspended;
    private long nextSequence;
    private long committedSequence;
    private SnapshotHead head;
    private long headRevision;
    private long lastGeneration;
    private JournalBatch batch;
    private boolean unsettled;

    /** A record on its way into the journal. */
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

        /** Its place in the partition's journal. */
        public long sequence() {
            return sequence;
        }

        /** Tells whoever appended it. */
        public void tell(AppendOutcome outcome) {
            progress.accept(outcome);
        }
    }

    /**
     * Creates the log of a partition that was just claimed and read.
     *
     * @param epoch this owner's epoch
     * @param claimRevision revision at which the partition record was written for this owner
     * @param state what the journal was found to hold; copies in it are appended anew
     */
    public PartitionLog(
            int partition, long epoch, long claimRevision, JournalState state, long nowNs) {
        this.partition = partition;
        openedEpoch = epoch;
        this.epoch = epoch;
        this.claimRevision = claimRevision;
        committedSequence = state.committedSequence();
        nextSequence = committedSequence + 1;
        head = state.head();
        headRevision = state.headRevision();
        lastGeneration = head.generation();
        state.copies().forEach(copy -> append(copy.record(), outcome -> {}, nowNs));
    }

    /** Adds a record after all others. */
    public void append(byte[] record, Consumer<AppendOutcome> progress, long nowNs) {
        waiting.add(new PendingRecord(nextSequence, record, progress, nowNs));
        nextSequence++;
    }

    /** Whether records wait to be committed. */
    public boolean dirty() {
        return batch != null || !waiting.isEmpty();
    }

    /**
     * The batch to send next; the same one until it is settled.
     *
     * @param writeIds source of a unique id for a new batch
     * @param maxBytes most bytes of records in a new batch; a single larger record goes alone
     */
    public JournalBatch batch(Supplier<String> writeIds, int maxBytes) {
        if (batch == null) {
            long bytes = 0;
            while (!waiting.isEmpty()
                    && (sealed.isEmpty() || bytes + waiting.peek().record.length <= maxBytes)) {
                bytes += waiting.peek().record.length;
                sealed.add(waiting.poll());
            }
            List<byte[]> records = sealed.stream().map(pending -> pending.record).toList();
            batch = new JournalBatch(writeIds.get(), epoch, sealed.getFirst().sequence, records);
        }
        return batch;
    }

    /** The open batch, if one was sent and is not settled. */
    public Optional<JournalBatch> openBatch() {
        return Optional.ofNullable(batch);
    }

    /** The answer about the open batch was lost: it may be stored. */
    public void markUnsettled() {
        unsettled = true;
    }

    /** Whether the open batch may be stored although no answer said so. */
    public boolean unsettled() {
        return unsettled;
    }

    /** The open batch is stored; returns its records. */
    public List<PendingRecord> settle() {
        committedSequence = batch.lastSequence();
        List<PendingRecord> committed = List.copyOf(sealed);
        sealed.clear();
        batch = null;
        unsettled = false;
        return committed;
    }

    /** Gives up all records; they will not be committed by this owner. */
    public List<PendingRecord> abandon() {
        List<PendingRecord> abandoned = new ArrayList<>(sealed);
        abandoned.addAll(waiting);
        sealed.clear();
        waiting.clear();
        batch = null;
        unsettled = false;
        return abandoned;
    }

    /** Stops sending until {@link #rebind}: this node's session is lost, the claim may change. */
    public void suspend() {
        suspended = true;
    }

    /** Goes on under a new claim of the same owner. */
    public void rebind(long newEpoch, long newClaimRevision) {
        epoch = newEpoch;
        claimRevision = newClaimRevision;
        suspended = false;
    }

    /** The records, oldest first, that peers do not hold yet under the present epoch. */
    public List<PendingRecord> uncopied(long maxBytes) {
        List<PendingRecord> chosen = new ArrayList<>();
        long bytes = 0;
        List<PendingRecord> all = new ArrayList<>(sealed);
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

    /** The copy to send of {@code pending}. */
    public CopiedRecord copyOf(PendingRecord pending) {
        return new CopiedRecord(partition, epoch, pending.sequence, pending.record);
    }

    /**
     * Peers confirmed a copy made under {@code copyEpoch}.
     *
     * @return whether {@code pending} still waits and is to be told
     */
    public boolean copied(PendingRecord pending, long copyEpoch) {
        pending.copiedEpoch = copyEpoch;
        return pending.sequence > committedSequence;
    }

    /** When the oldest waiting record was appended; empty if none waits. */
    public Optional<Long> oldestAppendedAtNs() {
        PendingRecord oldest = sealed.isEmpty() ? waiting.peek() : sealed.getFirst();
        return Optional.ofNullable(oldest).map(pending -> pending.appendedAtNs);
    }

    /** The number of the next snapshot attempt; each call returns a new one. */
    public long nextGeneration() {
        lastGeneration++;
        return lastGeneration;
    }

    /** A new snapshot is in force. */
    public void headWritten(SnapshotHead newHead, long modRevision) {
        head = newHead;
        headRevision = modRevision;
    }

    /** The snapshot in force. */
    public SnapshotHead head() {
        return head;
    }

    /** Revision of the head's last write, or 0 if there is none. */
    public long headRevision() {
        return headRevision;
    }

    /** The partition. */
    public int partition() {
        return partition;
    }

    /** The epoch at which the partition was acquired; the present one may be later. */
    public long openedEpoch() {
        return openedEpoch;
    }

    /** This owner's epoch. */
    public long epoch() {
        return epoch;
    }

    /** Revision of the partition record that makes this node its owner. */
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
