package org.skylarkmast.core.membership;

/** An action requested by {@link MembershipStateMachine}. */
public sealed interface MembershipAction {

    /** Sends a heartbeat to a peer. */
    record SendHeartbeat(String incarnation, String peerAddress) implements MembershipAction {}

    /** The set of nodes, or the state of a node, changed. */
    record ViewChanged(MemberView view) implements MembershipAction {}

    /** The session of a node no longer exists: the load that it reported is discarded. */
    record PeerGone(String incarnation) implements MembershipAction {}

    /** A host began to leave, or counts as live again. */
    record HostLeaving(String address, boolean leaving) implements MembershipAction {}
}
