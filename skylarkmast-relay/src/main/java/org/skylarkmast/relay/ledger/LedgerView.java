package org.skylarkmast.relay.ledger;

import java.util.ArrayList;
import java.util.List;

/**
 * The versioned set of storage nodes that hold the ledger, as published in the key-value service.
 *
 * <p>Consecutive views differ by one storage node, so that a quorum of one and a quorum of the next
 * always overlap.
 *
 * @param version increases by one with each change; 0 stands for no published view
 */
public record LedgerView(long version, List<Member> members) {

    /** The empty view before the first one is published. */
    public static final LedgerView NONE = new LedgerView(0, List.of());

    /**
     * A storage node.
     *
     * @param node name of its host
     * @param address its {@code host:port}
     */
    public record Member(String node, String address) {}

    public LedgerView {
        members = List.copyOf(members);
    }

    /** Whether {@code member} is in the view. */
    public boolean contains(Member member) {
        return members.contains(member);
    }

    /** The next view, with {@code member} added. */
    public LedgerView with(Member member) {
        List<Member> extended = new ArrayList<>(members);
        extended.add(member);
        return new LedgerView(version + 1, extended);
    }

    /** The next view, without {@code member}. */
    public LedgerView without(Member member) {
        List<Member> reduced = new ArrayList<>(members);
        reduced.remove(member);
        return new LedgerView(version + 1, reduced);
    }

    /** Number of storage nodes that must have a write on disk before it is acknowledged. */
    public int writeQuorum() {
        return members.size() / 2 + 1;
    }

    /**
     * Number of storage nodes that must lack a record before it counts as absent. It is large
     * enough that they cannot all lack an acknowledged record, even if one copy was lost with its
     * disk or with a storage node that left.
     */
    public int absenceQuorum() {
        return members.size() - Math.max(1, writeQuorum() - 1) + 1;
    }
}
