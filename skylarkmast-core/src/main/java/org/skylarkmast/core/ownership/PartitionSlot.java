package org.skylarkmast.core.ownership;

/** Ownership state of one partition; part of {@link OwnershipStateMachine}. */
final class PartitionSlot {

    /** Stages of ownership of a partition by this node. */
    enum State {
        /** Not owned by this node. */
        NONE,
        /** A claim is being written. */
        CLAIMING,
        /** The ownership record names this node; the journal is being read. */
        READING,
        /** Served by this node. */
        HELD,
        /** Still served by this node while its calls in flight finish; handed over afterwards. */
        RELEASING,
        /** No calls are in flight; the hand-over is due to be written. */
        QUIESCED,
        /** The hand-over is being written. */
        HANDING_OVER,
        /**
         * This node's session was lost; the state in memory is current unless another node has
         * claimed the partition.
         */
        RECLAIMING
    }

    final int partition;
    OwnerRecord record;
    long revision;
    State state = State.NONE;
    long heldRevision;
    long heldEpoch;
    long retryAtNs = Long.MIN_VALUE;

    PartitionSlot(int partition) {
        this.partition = partition;
    }

    /** Enters {@code newState} with the stored record, which names this node's incarnation. */
    void enterOwnedState(State newState) {
        state = newState;
        heldRevision = revision;
        heldEpoch = record.epoch();
    }

    /** Whether the state in memory is current. */
    boolean held() {
        return switch (state) {
            case NONE, CLAIMING, READING -> false;
            case HELD, RELEASING, QUIESCED, HANDING_OVER, RECLAIMING -> true;
        };
    }

    /** Whether the partition is being handed over to another node. */
    boolean beingHandedOver() {
        return switch (state) {
            case NONE, CLAIMING, READING, HELD, RECLAIMING -> false;
            case RELEASING, QUIESCED, HANDING_OVER -> true;
        };
    }
}
