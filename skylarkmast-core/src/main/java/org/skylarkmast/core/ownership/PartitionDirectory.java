package org.skylarkmast.core.ownership;

import java.util.Optional;

/** Where partitions are owned, as far as this node knows. Thread-safe. */
public interface PartitionDirectory {

    /** The owner of {@code partition}; empty while nobody is known to own it. */
    Optional<OwnerLocation> ownerOf(int partition);

    /** Whether this node owns the partition and its lease cannot have lapsed by {@code nowNs}. */
    boolean ownedHere(int partition, long nowNs);

    /**
     * Whether this node held the partition last and no other is known to have claimed it.
     *
     * <p>Unlike {@link #ownedHere} this stays true while the key-value service is down; it permits
     * only work that may be repeated.
     */
    boolean heldHere(int partition);

    /** Looks at the key-value service again, since the known owner turned out wrong. */
    void refresh(int partition);
}
