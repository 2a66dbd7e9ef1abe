package org.skylarkmast.core.ownership;

import java.util.List;
import java.util.Optional;

/** An input of {@link OwnershipStateMachine}. */
public sealed interface OwnershipEvent {

    /** This node's session was opened under {@code incarnation}. */
    record SessionOpened(String incarnation, SessionRecord session) implements OwnershipEvent {}

    /** This node's session was lost. */
    record SessionLost() implements OwnershipEvent {}

    /**
     * All ownership records and sessions were read and reported by {@link RecordSeen} and {@link
     * SessionSeen}.
     */
    record DirectoryRead() implements OwnershipEvent {}

    /**
     * An ownership record was read, or reported by a watch.
     *
     * @param record stored record; empty if it does not exist
     * @param revision revision of the record's last write, or of the read if there is none
     */
    record RecordSeen(int partition, Optional<OwnerRecord> record, long revision)
            implements OwnershipEvent {}

    /** A session was read, or reported by a watch. */
    record SessionSeen(String incarnation, SessionRecord session) implements OwnershipEvent {}

    /** A session no longer exists. */
    record SessionGone(String incarnation) implements OwnershipEvent {}

    /**
     * An attempt to write claims finished.
     *
     * <p>The records that are now stored, if known, were reported by {@link RecordSeen} before. A
     * claim that these do not show had no effect, or its outcome is unknown.
     */
    record ClaimAttemptFinished(List<Integer> partitions) implements OwnershipEvent {
        public ClaimAttemptFinished {
            partitions = List.copyOf(partitions);
        }
    }

    /** The journal of a partition was read after it was claimed at {@code revision}. */
    record JournalRead(int partition, long revision) implements OwnershipEvent {}

    /**
     * A partition being released has no calls in flight, and all its journal records are committed.
     */
    record Quiesced(int partition, long claimRevision) implements OwnershipEvent {}

    /**
     * An attempt to write a hand-over finished.
     *
     * <p>The record that is now stored, if known, was reported by {@link RecordSeen} before.
     * Without such a report the hand-over had no effect, or its outcome is unknown.
     */
    record HandOverAttemptFinished(int partition) implements OwnershipEvent {}

    /** The journal found that another node owns the partition. */
    record Fenced(int partition, long claimRevision) implements OwnershipEvent {}

    /** This node began to drain: it hands over all of its partitions. */
    record DrainStarted() implements OwnershipEvent {}

    /** Time passed; sent several times a second. */
    record Tick() implements OwnershipEvent {}
}
