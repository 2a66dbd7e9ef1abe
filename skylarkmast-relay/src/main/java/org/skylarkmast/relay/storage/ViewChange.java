package org.skylarkmast.relay.storage;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkmast.relay.ledger.LedgerView;

/**
 * Decides on the next view; has no side effects.
 *
 * <p>Reacts to hosts that are added, lost for good or being retired. A view changes by one storage
 * node at a time, and only once a quorum of the current view has fetched all records acknowledged
 * before it: then every record has a quorum of copies again, and after the next change each quorum
 * still contains one of them.
 */
final class ViewChange {

    /** Time without a response after which a member may be removed from the view. */
    static final long LOST_AFTER_MS = 6000;

    private ViewChange() {}

    /**
     * A storage node as seen by another.
     *
     * @param status its last reported status, or null if it never answered
     * @param sinceResponseMs time since its last response, or since the first failed ping if it
     *     never answered
     */
    record Peer(StorageNodeStatus status, long sinceResponseMs) {

        boolean reachable() {
            return status != null && sinceResponseMs < 1500;
        }
    }

    /**
     * Returns the next view, or null if no change is due.
     *
     * @param peers the state of members and candidates, including this storage node
     * @param candidates registered storage nodes
     * @param retiring names of hosts being retired
     * @param minMembers number of storage nodes below which a view must not shrink
     */
    static LedgerView next(
            LedgerView view,
            Map<LedgerView.Member, Peer> peers,
            List<LedgerView.Member> candidates,
            Set<String> retiring,
            int minMembers) {
        if (!quorumSynced(view, peers)) {
            return null;
        }
        for (LedgerView.Member candidate : candidates) {
            if (!view.contains(candidate)
                    && !retiring.contains(candidate.node())
                    && reachable(peers, candidate)
                    && peers.get(candidate).status().syncedVersion() == view.version()) {
                return view.with(candidate);
            }
        }
        int size = view.members().size();
        for (LedgerView.Member member : view.members()) {
            if (size > minMembers
                    && retiring.contains(member.node())
                    && hasQuorumWithout(view, member, peers)) {
                return view.without(member);
            }
        }
        for (LedgerView.Member member : view.members()) {
            Peer peer = peers.get(member);
            boolean lost = peer == null || peer.sinceResponseMs() > LOST_AFTER_MS;
            // Removing a member from a view of odd size would not make the quorum smaller.
            if (lost
                    && size % 2 == 0
                    && size - 1 > minMembers
                    && hasQuorumWithout(view, member, peers)) {
                return view.without(member);
            }
        }
        return null;
    }

    /** Whether a quorum of {@code view} holds all records acknowledged before it. */
    static boolean quorumSynced(LedgerView view, Map<LedgerView.Member, Peer> peers) {
        int synced = 0;
        for (LedgerView.Member member : view.members()) {
            Peer peer = peers.get(member);
            if (peer != null
                    && peer.reachable()
                    && peer.status().voting()
                    && peer.status().syncedVersion() == view.version()) {
                synced++;
            }
        }
        return synced >= view.writeQuorum();
    }

    private static boolean hasQuorumWithout(
            LedgerView view, LedgerView.Member leaving, Map<LedgerView.Member, Peer> peers) {
        LedgerView next = view.without(leaving);
        long reachable = next.members().stream().filter(member -> reachable(peers, member)).count();
        return reachable >= next.writeQuorum();
    }

    private static boolean reachable(Map<LedgerView.Member, Peer> peers, LedgerView.Member member) {
        Peer peer = peers.get(member);
        return peer != null && peer.reachable();
    }
}
