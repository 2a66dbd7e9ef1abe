package org.skylarkmast.core.journal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Puts a partition's journal together from its stored parts.
 *
 * <p>Left-overs of interrupted snapshots are passed over: chunks of other generations, and batches
 * that the snapshot already covers. Not thread-safe.
 */
public final class ReplayAssembler {
    private final int partition;
    private final TreeMap<Long, TreeMap<Integer, byte[]>> chunksByGeneration = new TreeMap<>();
    private final List<JournalBatch> batches = new ArrayList<>();

    private SnapshotHead head = SnapshotHead.NONE;
    private long headRevision;

    /** Creates an assembler of an empty journal. */
    public ReplayAssembler(int partition) {
        this.partition = partition;
    }

    /** Takes the stored head. */
    public void head(SnapshotHead storedHead, long modRevision) {
        head = storedHead;
        headRevision = modRevision;
    }

    /** Takes a stored chunk. */
    public void chunk(long generation, int index, byte[] bytes) {
        chunksByGeneration.computeIfAbsent(generation, key -> new TreeMap<>()).put(index, bytes);
    }

    /** Takes a stored batch; batches come in key order. */
    public void batch(JournalBatch batch) {
        batches.add(batch);
    }

    /**
     * Finishes.
     *
     * @param copies what peers keep for the partition, in any order
     * @throws IllegalStateException if chunks or records are missing, which no crash can cause
     */
    public JournalState finish(List<CopiedRecord> copies) {
        List<byte[]> records = new ArrayList<>();
        long lastSequence = head.throughSequence();
        long lastEpoch = head.epoch();
        for (JournalBatch batch : batches) {
            if (batch.lastSequence() <= lastSequence) {
                continue;
            }
            if (batch.firstSequence() > lastSequence + 1) {
                throw new IllegalStateException(
                        "partition "
                                + partition
                                + " lacks records after "
                                + lastSequence
                                + ", next is "
                                + batch.firstSequence());
            }
            int skipped = (int) (lastSequence + 1 - batch.firstSequence());
            records.addAll(batch.records().subList(skipped, batch.records().size()));
            lastSequence = batch.lastSequence();
            lastEpoch = Math.max(lastEpoch, batch.epoch());
        }
        long committedSequence = lastSequence;
        List<CopiedRecord> usable = usableCopies(copies, committedSequence, lastEpoch);
        usable.forEach(copy -> records.add(copy.record()));
        ReplayedPartition replay =
                new ReplayedPartition(chunks(), records, committedSequence + usable.size());
        return new JournalState(head, headRevision, committedSequence, replay, usable);
    }

    private List<byte[]> chunks() {
        Map<Integer, byte[]> stored =
                chunksByGeneration.getOrDefault(head.generation(), new TreeMap<>());
        List<byte[]> chunks = new ArrayList<>();
        for (int index = 0; index < head.chunkCount(); index++) {
            byte[] chunk = stored.get(index);
            if (chunk == null) {
                throw new IllegalStateException(
                        "partition " + partition + " lacks snapshot chunk " + index);
            }
            chunks.add(chunk);
        }
        return chunks;
    }

    /**
     * Chooses the copies that follow the stored records without a gap, all by one owner epoch.
     *
     * <p>The latest epoch wins, since its owner went on from what it had found itself. An epoch
     * before that of the last stored record or snapshot was superseded by a committed one.
     */
    private List<CopiedRecord> usableCopies(
            List<CopiedRecord> copies, long committedSequence, long lastEpoch) {
        long epoch =
                copies.stream()
                        .filter(copy -> copy.partition() == partition)
                        .filter(copy -> copy.sequence() == committedSequence + 1)
                        .filter(copy -> copy.epoch() >= lastEpoch)
                        .mapToLong(CopiedRecord::epoch)
                        .max()
                        .orElse(-1);
        List<CopiedRecord> candidates =
                copies.stream()
                        .filter(copy -> copy.partition() == partition && copy.epoch() == epoch)
                        .sorted(Comparator.comparingLong(CopiedRecord::sequence))
                        .toList();
        List<CopiedRecord> usable = new ArrayList<>();
        long nextSequence = committedSequence + 1;
        for (CopiedRecord copy : candidates) {
            if (copy.sequence() == nextSequence) {
                usable.add(copy);
                nextSequence++;
            }
        }
        return usable;
    }
}
