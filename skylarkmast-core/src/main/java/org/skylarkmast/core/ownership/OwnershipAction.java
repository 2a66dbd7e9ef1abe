package org.skylarkmast.core.ownership;

import java.util.List;

/** An action requested by {@link OwnershipStateMachine}. */
public sealed interface OwnershipAction {

    /** Writes claims; a failed claim does not prevent the others from taking effect. */
    record Claim(List<ClaimRequest> requests) implements OwnershipAction {
        public Claim {
            requests = List.copyOf(requests);
        }
    }

    /** Reads the journal of a partition that this node has owned since {@code revision}. */
    record ReadJournal(int partition, long revision, long epoch) implements OwnershipAction {}

    /** The partition is ready to be served. */
    record Acquired(int partition, long revision, long epoch) implements OwnershipAction {}

    /** This node kept the partition, under a new epoch or after an abandoned hand-over. */
    record Reacquired(int partition, long revision, long epoch) implements OwnershipAction {}

    /** This node no longer owns the partition. */
    record Lost(int partition) implements OwnershipAction {}

    /**
     * This node's session was lost: the journal of the partition pauses until the partition is
     * reclaimed.
     */
    record Suspend(int partition) implements OwnershipAction {}

    /** Finishes the calls in flight for the partition; {@link OwnershipEvent.Quiesced} follows. */
    record Release(int partition, long claimRevision) implements OwnershipAction {}

    /** Writes an ownership record that names the next owner, whose session must exist. */
    record HandOver(int partition, long claimRevision, OwnerRecord record)
            implements OwnershipAction {}

    /** Reads the ownership record again. */
    record Refresh(int partition) implements OwnershipAction {}
}
