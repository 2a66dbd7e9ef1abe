package org.skylarkmast.core.membership;

import java.util.Map;
import org.skylarkmast.core.ownership.SessionRecord;

/** What the membership decisions are told. */
public sealed interface MembershipEvent {

    /**
     * The live sessions changed.
     *
     * @param ownIncarnation this node's, or empty text while it has none
     */
    record SessionsSeen(String ownIncarnation, Map<String, SessionRecord> sessions)
            implements MembershipEvent {
        public SessionsSeen {
            sessions = Map.copyOf(sessions);
        }
    }

    /** The host list was read. */
    record HostsRead(HostList hosts) implements MembershipEvent {}

    /** A peer answered a heartbeat, or sent one. */
    record PeerHeard(String incarnation, boolean draining) implements MembershipEvent {}

    /** A heartbeat sent at {@code sentAtNs} was not answered in time. */
    record HeartbeatMissed(String incarnation, long sentAtNs) implements MembershipEvent {}

    /** It is time for a round of heartbeats. */
    record RoundDue() implements MembershipEvent {}
}
