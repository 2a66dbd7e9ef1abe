package org.skylarkmast.core.ownership;

/** What the ownership decisions know of one partition; part of {@link OwnershipMachine}. */
final class PartitionSlot {

    /** How far this node holds a partition. */
    enum Holding {
        /** Not at all. */
        NONE,
        /** A claim is being written. */
        CLAIMING,
        /** The record names this node; the journal is being read. */
        READING,
        /** Served here. */
        HELD,
        /** Served here until nothing is under way any longer, then handed over. */
        RELEASING,
        /** Nothing is under way; the hand-over is to be written. */
        QUIET,
        /** The hand-over is being written. */
        HANDING_OVER,
        /** This node's session was lost; the state in memory is true unless another claimed. */
        RECLAIMING
    }

    final int partition;
    OwnerRecord record;
    long revision;
    Holding holding = Holding.NONE;
    long heldRevision;
    long heldEpoch;
    long retryAtNs = Long.MIN_VALUE;

    PartitionSlot(int partition) {
        this.partition = partition;
    }

    /** The stored record names this node's incarnation. */
    void hold(Holding newHolding) {
        holding = newHolding;
        heldRevision = revision;
        heldEpoch = record.epoch();
    }

    /** Whether the state in memory is true. */
    boolean held() {
        return switch (holding) {
            case NONE, CLAIMING, READING -> false;
            case HELD, RELEASING, QUIET, HANDING_OVER, RECLAIMING -> true;
        };
    }

    /** Whether the partition is on its way to another node. */
    boolean leaving() {
        return switch (holding) {
            case NONE, CLAIMING, READING, HELD, RECLAIMING -> false;
            case RELEASING, QUIET, HANDING_OVER -> true;
        };
    }
}
