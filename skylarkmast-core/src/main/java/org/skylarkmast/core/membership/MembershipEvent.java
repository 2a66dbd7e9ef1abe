package org.skylarkmast.core.membership;

import java.util.Map;
import org.skylarkmast.core.ownership.SessionRecord;

/** An input of {@link MembershipStateMachine}. */
public sealed interface MembershipEvent {

    /**
     * The live sessions were read; they may be unchanged.
     *
     * @param ownIncarnation incarnation of this node; empty while it has no session
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
    record HeartbeatReceived(String incarnation, boolean draining) implements MembershipEvent {}

    /** A heartbeat sent at {@code sentAtNs} was not answered in time. */
    record HeartbeatMissed(String incarnation, long sentAtNs) implements MembershipEvent {}

    /** The next round of heartbeats is due. */
    record RoundDue() implements MembershipEvent {}
}
