package org.skylarkmast.core.ownership;

import java.util.Optional;

/** Looks up the owners of partitions as known to this node. Thread-safe. */
public interface PartitionDirectory {

    /** The owner of {@code partition}; empty while no owner is known. */
    Optional<OwnerLocation> ownerOf(int partition);

    /** Whether this node owns the partition and its lease cannot have expired by {@code nowNs}. */
    boolean ownedHere(int partition, long nowNs);

    /**
     * Whether this node was the last to hold the partition and no other node is known to have
     * claimed it.
     *
     * <p>Unlike {@link #ownedHere} this stays true while the key-value service is unavailable. It
     * therefore permits only work that may be executed more than once.
     */
    boolean heldHere(int partition);

    /** Reads the ownership record again after the known owner proved to be outdated. */
    void refresh(int partition);
}
