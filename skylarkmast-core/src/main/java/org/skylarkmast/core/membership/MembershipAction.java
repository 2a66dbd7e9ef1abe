package org.skylarkmast.core.membership;

/** What the membership decisions want done. */
public sealed interface MembershipAction {

    /** Sends a heartbeat to a peer. */
    record SendHeartbeat(String incarnation, String peerAddress) implements MembershipAction {}

    /** The view of the nodes changed. */
    record ViewChanged(MemberView view) implements MembershipAction {}

    /** A node is gone: what it told of its load is void. */
    record PeerGone(String incarnation) implements MembershipAction {}

    /** A host began to leave, or surely does not leave any longer. */
    record HostLeaving(String address, boolean leaving) implements MembershipAction {}
}
