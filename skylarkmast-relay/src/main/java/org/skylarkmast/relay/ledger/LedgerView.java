package org.skylarkmast.relay.ledger;

import java.util.ArrayList;
import java.util.List;

/**
 * The versioned set of storage nodes that hold the ledger, as published in the key-value service.
 *
 * <p>The next view adds one storage node, leaves one out or, at an even size, puts one in the place
 * of another. So a write quorum of one view and one of the next always overlap.
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

    /**
     * The next view, with {@code added} in the place of {@code removed}.
     *
     * @throws IllegalStateException if the size is odd: quorums of the two views might not overlap
     */
    public LedgerView replacing(Member removed, Member added) {
        if (members.size() % 2 != 0) {
            throw new IllegalStateException("cannot replace a member of a view of odd size");
        }
        List<Member> replaced = new ArrayList<>(members);
        replaced.remove(removed);
        replaced.add(added);
        return new LedgerView(version + 1, replaced);
    }

    /** Number of storage nodes that must have a write on disk before it is acknowledged. */
    public int writeQuorum() {
        return members.size() / 2 + 1;
    }

    /**
     * Number of members that suffice to go on to the next view: each write quorum contains one of
     * them, so together they hold every acknowledged record, and once they refuse writes under this
     * view no write can be acknowledged under it. At an even size that is one less than a write
     * quorum.
     */
    public int recoveryQuorum() {
        return members.size() - writeQuorum() + 1;
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
