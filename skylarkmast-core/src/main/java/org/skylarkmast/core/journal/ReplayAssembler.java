package org.skylarkmast.core.journal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Assembles the journal of a partition from its stored parts and from copies held by peers.
 *
 * <p>Remains of interrupted snapshots are ignored: chunks of other generations, and batches that
 * the snapshot already covers. Not thread-safe.
 */
public final class ReplayAssembler {
    private final int partition;
    private final TreeMap<Long, TreeMap<Integer, byte[]>> chunksByGeneration = new TreeMap<>();
    private final List<JournalBatch> batches = new ArrayList<>();

    private SnapshotHead head = SnapshotHead.NONE;
    private long headRevision;

    /** Creates an assembler without any parts. */
    public ReplayAssembler(int partition) {
        this.partition = partition;
    }

    /** Sets the stored head. */
    public void setHead(SnapshotHead storedHead, long modRevision) {
        head = storedHead;
        headRevision = modRevision;
    }

    /** Adds a stored chunk. */
    public void addChunk(long generation, int index, byte[] bytes) {
        chunksByGeneration.computeIfAbsent(generation, key -> new TreeMap<>()).put(index, bytes);
    }

    /** Adds a stored batch; batches are added in key order. */
    public void addBatch(JournalBatch batch) {
        batches.add(batch);
    }

    /**
     * Returns the contents of the journal.
     *
     * @param copies copies that peers hold, in any order
     * @throws IllegalStateException if chunks or records are missing, which a crash cannot cause
     */
    public JournalState assemble(List<CopiedRecord> copies) {
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
                                + ": journal records missing after sequence "
                                + lastSequence
                                + ", next stored batch starts at "
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
                        "partition "
                                + partition
                                + ": missing snapshot chunk "
                                + index
                                + " of generation "
                                + head.generation());
            }
            chunks.add(chunk);
        }
        return chunks;
    }

    /**
     * Selects the copies of a single epoch that follow the stored records without a gap.
     *
     * <p>The latest epoch is used, since its owner continued from the records that it had read
     * itself. Copies of an epoch before that of the last stored record or snapshot are superseded
     * by committed records.
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
