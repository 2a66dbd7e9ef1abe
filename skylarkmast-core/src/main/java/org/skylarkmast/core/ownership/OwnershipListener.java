package org.skylarkmast.core.ownership;

import org.skylarkmast.core.journal.ReplayedPartition;

/** Told when this node gains or loses a partition; called on the ownership loop. */
public interface OwnershipListener {

    /** The partition is this node's and its journal is read. */
    void acquired(int partition, long epoch, ReplayedPartition replay);

    /**
     * A session was lost and the partition claimed back before anyone else had it: the state in
     * memory is still true.
     */
    void reacquired(int partition, long epoch);

    /** The partition is another node's, or may be soon; no new work starts for it here. */
    void lost(int partition);

    /**
     * The partition is to be handed over; {@code whenQuiet} is run once no call of it is under way
     * and its last record is committed.
     */
    void release(int partition, Runnable whenQuiet);
}
