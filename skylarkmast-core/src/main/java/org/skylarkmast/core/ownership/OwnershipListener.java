package org.skylarkmast.core.ownership;

import org.skylarkmast.core.journal.ReplayedPartition;

/** Receives changes of the partitions that this node owns; called on the ownership loop. */
public interface OwnershipListener {

    /** This node owns the partition and has read its journal. */
    void acquired(int partition, long epoch, ReplayedPartition replay);

    /**
     * This node lost its session and reclaimed the partition before another node owned it: the
     * state in memory is still current.
     */
    void reacquired(int partition, long epoch);

    /** Another node owns the partition or may own it soon; this node starts no new work for it. */
    void lost(int partition);

    /**
     * The partition is to be handed over; {@code whenQuiesced} is run once none of its calls is in
     * flight and its last journal record is committed.
     */
    void release(int partition, Runnable whenQuiesced);
}
