package org.skylarkmast.daemon.journal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.skylarkmast.core.journal.CopiedRecord;
import org.skylarkmast.core.journal.CopyMark;

/**
 * Keeps copies of other owners' records in memory, up to a bound.
 *
 * <p>A copy stays until a mark says that its record is committed. Thread-safe.
 */
public final class CopyStore {
    private final long maxBytes;
    private final Map<Integer, TreeMap<Place, CopiedRecord>> byPartition = new HashMap<>();

    private long keptBytes;

    private record Place(long epoch, long sequence) implements Comparable<Place> {

        @Override
        public int compareTo(Place other) {
            int byEpoch = Long.compare(epoch, other.epoch);
            return byEpoch != 0 ? byEpoch : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Creates an empty keeper.
     *
     * @param maxBytes most bytes of records kept
     */
    public CopyStore(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Keeps all of {@code copies}, or none if they do not fit.
     *
     * @return whether all are kept
     */
    public synchronized boolean keep(List<CopiedRecord> copies) {
        long addedBytes = copies.stream().mapToLong(copy -> copy.record().length).sum();
        if (keptBytes + addedBytes > maxBytes) {
            return false;
        }
        for (CopiedRecord copy : copies) {
            CopiedRecord former =
                    byPartition
                            .computeIfAbsent(copy.partition(), key -> new TreeMap<>())
                            .put(new Place(copy.epoch(), copy.sequence()), copy);
            keptBytes += copy.record().length - (former == null ? 0 : former.record().length);
        }
        return true;
    }

    /** Drops the copies that {@code marks} say are committed. */
    public synchronized void drop(List<CopyMark> marks) {
        for (CopyMark mark : marks) {
            TreeMap<Place, CopiedRecord> kept = byPartition.get(mark.partition());
            if (kept == null) {
                continue;
            }
            kept.values()
                    .removeIf(
                            copy -> {
                                boolean committed =
                                        copy.epoch() <= mark.epoch()
                                                && copy.sequence() <= mark.sequence();
                                keptBytes -= committed ? copy.record().length : 0;
                                return committed;
                            });
            if (kept.isEmpty()) {
                byPartition.remove(mark.partition());
            }
        }
    }

    /** The copies kept for {@code partition}, by epoch and sequence. */
    public synchronized List<CopiedRecord> copiesOf(int partition) {
        TreeMap<Place, CopiedRecord> kept = byPartition.get(partition);
        return kept == null ? List.of() : new ArrayList<>(kept.values());
    }

    /** Bytes of records kept. */
    public synchronized long keptBytes() {
        return keptBytes;
    }
}
