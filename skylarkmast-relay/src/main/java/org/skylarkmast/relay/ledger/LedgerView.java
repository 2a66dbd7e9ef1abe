package org.skylarkmast.relay.ledger;

import java.util.ArrayList;
import java.util.List;

/**
 * The storage nodes that hold the ledger, as published in the key-value service.
 *
 * <p>Views change by one storage node at a time, which keeps quorums of neighbouring views
 * overlapping.
 *
 * @param version grows by one with each change; 0 is the view before the first
 */
public record LedgerView(long version, List<Member> members) {

    /** No storage node is known. */
    public static final LedgerView NONE = new LedgerView(0, List.of());

    /**
     * A storage node.
     *
     * @param node name of its host
     * @param address {@code host:port} it is reached at
     */
    public record Member(String node, String address) {}

    public LedgerView {
        members = List.copyOf(members);
    }

    /** Whether {@code member} belongs to the view. */
    public boolean contains(Member member) {
        return members.contains(member);
    }

    /** The next view, with {@code member} added. */
    public LedgerView with(Member member) {
        List<Member> more = new ArrayList<>(members);
        more.add(member);
        return new LedgerView(version + 1, more);
    }

    /** The next view, without {@code member}. */
    public LedgerView without(Member member) {
        List<Member> fewer = new ArrayList<>(members);
        fewer.remove(member);
        return new LedgerView(version + 1, fewer);
    }

    /** Storage nodes that must have a write on disk before it counts. */
    public int writeQuorum() {
        return members.size() / 2 + 1;
    }

    /**
     * Storage nodes whose word together is certain about what is absent, also when one copy of a
     * record was lost with its disk or with a storage node that left.
     */
    public int certaintyQuorum() {
        return members.size() - Math.max(1, writeQuorum() - 1) + 1;
    }
}
