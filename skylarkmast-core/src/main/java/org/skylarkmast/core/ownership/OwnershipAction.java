package org.skylarkmast.core.ownership;

import java.util.List;

/** What the ownership decisions want done. */
public sealed interface OwnershipAction {

    /** Writes claims; those that fail do not keep the others from taking effect. */
    record Claim(List<ClaimRequest> requests) implements OwnershipAction {
        public Claim {
            requests = List.copyOf(requests);
        }
    }

    /** Reads the journal of a partition that this node owns since {@code revision}. */
    record ReadJournal(int partition, long revision, long epoch) implements OwnershipAction {}

    /** The partition is ready to be served. */
    record Acquired(int partition, long revision, long epoch) implements OwnershipAction {}

    /** The partition stayed this node's, under a new epoch or after an abandoned hand-over. */
    record Reacquired(int partition, long revision, long epoch) implements OwnershipAction {}

    /** The partition is not this node's any longer. */
    record Lost(int partition) implements OwnershipAction {}

    /** This node's session is gone: the partition's journal pauses until it is claimed back. */
    record Suspend(int partition) implements OwnershipAction {}

    /** Finishes what is under way for the partition, then {@link OwnershipEvent.Quiet} is due. */
    record Release(int partition, long claimRevision) implements OwnershipAction {}

    /** Writes the partition record to its next owner, whose session must exist. */
    record HandOver(int partition, long claimRevision, OwnerRecord record)
            implements OwnershipAction {}

    /** Reads the partition record again. */
    record Refresh(int partition) implements OwnershipAction {}
}
