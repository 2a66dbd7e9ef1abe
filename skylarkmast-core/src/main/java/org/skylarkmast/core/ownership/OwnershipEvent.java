package org.skylarkmast.core.ownership;

import java.util.List;
import java.util.Optional;

/** What the ownership decisions are told. */
public sealed interface OwnershipEvent {

    /** This node's session was opened under {@code incarnation}. */
    record SessionOpened(String incarnation, SessionRecord session) implements OwnershipEvent {}

    /** This node's session is gone. */
    record SessionLost() implements OwnershipEvent {}

    /** All records and sessions were read; {@link RecordSeen} and the like have told of them. */
    record DirectoryRead() implements OwnershipEvent {}

    /**
     * A partition record was read or reported.
     *
     * @param record what is stored; empty if the record does not exist
     * @param revision revision of the record's last write, or of the read if there is none
     */
    record RecordSeen(int partition, Optional<OwnerRecord> record, long revision)
            implements OwnershipEvent {}

    /** A session was read or reported. */
    record SessionSeen(String incarnation, SessionRecord session) implements OwnershipEvent {}

    /** A session is gone. */
    record SessionGone(String incarnation) implements OwnershipEvent {}

    /** Claims had no effect, or their answer is unknown; what is stored was told if known. */
    record ClaimsEnded(List<Integer> partitions) implements OwnershipEvent {
        public ClaimsEnded {
            partitions = List.copyOf(partitions);
        }
    }

    /** The journal of a partition was read after it was claimed at {@code revision}. */
    record JournalRead(int partition, long revision) implements OwnershipEvent {}

    /** A partition being released is quiet: nothing is under way and all is committed. */
    record Quiet(int partition, long claimRevision) implements OwnershipEvent {}

    /** A hand-over had no effect, or its answer is unknown. */
    record HandOverEnded(int partition) implements OwnershipEvent {}

    /** The journal found that another owner has the partition. */
    record Fenced(int partition, long claimRevision) implements OwnershipEvent {}

    /** This node gives all of its partitions away. */
    record DrainStarted() implements OwnershipEvent {}

    /** Time passed; sent several times a second. */
    record Tick() implements OwnershipEvent {}
}
