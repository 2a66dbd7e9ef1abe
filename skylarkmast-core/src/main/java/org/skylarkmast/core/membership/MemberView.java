package org.skylarkmast.core.membership;

import java.util.List;

/**
 * The nodes of the system as this node sees them.
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
     * @param weight its size relative to others, above 0
     */
    public record Member(
            String incarnation,
            String node,
            String failureDomain,
            String peerAddress,
            double weight,
            State state) {}

    /** What is believed of a node. */
    public enum State {
        /** It answers. */
        LIVE,
        /** It has not answered for a while; nothing new is forwarded to it. */
        SUSPECTED,
        /** It is leaving: it finishes what it has and takes nothing new. */
        LEAVING
    }
}
