package org.skylarkmast.daemon.journal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.skylarkmast.core.journal.CopiedRecord;
import org.skylarkmast.core.journal.CopyMark;

/**
 * Holds copies of other owners' records in memory, up to a maximum size.
 *
 * <p>A copy is held until a mark shows that its record is committed. Thread-safe.
 */
public final class CopyStore {
    private final long maxBytes;
    private final Map<Integer, TreeMap<Position, CopiedRecord>> byPartition = new HashMap<>();

    private long storedBytes;

    private record Position(long epoch, long sequence) implements Comparable<Position> {

        @Override
        public int compareTo(Position other) {
            int byEpoch = Long.compare(epoch, other.epoch);
            return byEpoch != 0 ? byEpoch : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Creates an empty store.
     *
     * @param maxBytes maximum total size of the records held
     */
    public CopyStore(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Adds all of {@code copies}, or none if they would exceed the maximum size.
     *
     * @return whether the copies were added
     */
    public synchronized boolean addAll(List<CopiedRecord> copies) {
        long addedBytes = copies.stream().mapToLong(copy -> copy.record().length).sum();
        if (storedBytes + addedBytes > maxBytes) {
            return false;
        }
        for (CopiedRecord copy : copies) {
            CopiedRecord replaced =
                    byPartition
                            .computeIfAbsent(copy.partition(), key -> new TreeMap<>())
                            .put(new Position(copy.epoch(), copy.sequence()), copy);
            storedBytes += copy.record().length - (replaced == null ? 0 : replaced.record().length);
        }
        return true;
    }

    /** Removes the copies that are committed according to {@code marks}. */
    public synchronized void removeCommitted(List<CopyMark> marks) {
        for (CopyMark mark : marks) {
            TreeMap<Position, CopiedRecord> stored = byPartition.get(mark.partition());
            if (stored == null) {
                continue;
            }
            stored.values()
                    .removeIf(
                            copy -> {
                                boolean committed =
                                        copy.epoch() <= mark.epoch()
                                                && copy.sequence() <= mark.sequence();
                                storedBytes -= committed ? copy.record().length : 0;
                                return committed;
                            });
            if (stored.isEmpty()) {
                byPartition.remove(mark.partition());
            }
        }
    }

    /** The copies held for {@code partition}, ordered by epoch and sequence. */
    public synchronized List<CopiedRecord> copiesOf(int partition) {
        TreeMap<Position, CopiedRecord> stored = byPartition.get(partition);
        return stored == null ? List.of() : new ArrayList<>(stored.values());
    }

    /** Total size of the records held. */
    public synchronized long storedBytes() {
        return storedBytes;
    }
}
