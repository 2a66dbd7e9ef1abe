package org.skylarkmast.core.membership;

import java.util.List;

/**
 * The nodes of the system with their states as known to this node.
 *
 * @param members all known nodes, this one included
 */
public record MemberView(List<Member> members) {

    public MemberView {
        members = List.copyOf(members);
    }

    /**
     * One node.
     *
     * @param weight capacity relative to other nodes; greater than 0
     */
    public record Member(
            String incarnation,
            String node,
            String failureDomain,
            String peerAddress,
            double weight,
            State state) {}

    /** The estimated state of a node. */
    public enum State {
        /** The node answers heartbeats. */
        LIVE,
        /** The node missed several heartbeats in a row; no new requests are forwarded to it. */
        SUSPECTED,
        /** The node is draining: it finishes its calls in flight and accepts no new ones. */
        LEAVING
    }
}
