package org.skylarkmast.relay.storage;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkmast.relay.ledger.LedgerView;

/**
 * Decides on the next view; pure.
 *
 * <p>Answers hosts that come, go for good, or are to be emptied. One storage node at a time, and
 * only once a quorum of the view in force has fetched all that was acknowledged before: then every
 * record has a quorum of copies again, and the next change still leaves one in each quorum.
 */
final class ViewChange {

    /** Silence after which a member that does not answer may be replaced or left out. */
    static final long GONE_AFTER_MS = 6000;

    private ViewChange() {}

    /**
     * What a storage node sees of another.
     *
     * @param status its last answer, or null if it never answered
     * @param silentMs time since its last answer
     */
    record Peer(StorageNodeStatus status, long silentMs) {

        boolean reachable() {
            return status != null && silentMs < 1500;
        }
    }

    /**
     * The next view, or null if none is due.
     *
     * @param peers what is seen of members and candidates, this storage node included
     * @param candidates registered storage nodes
     * @param retiring nodes that are to be emptied
     * @param least storage nodes that a view must keep
     */
    static LedgerView next(
            LedgerView view,
            Map<LedgerView.Member, Peer> peers,
            List<LedgerView.Member> candidates,
            Set<String> retiring,
            int least) {
        if (!settled(view, peers)) {
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
            if (size > least
                    && retiring.contains(member.node())
                    && quorumWithout(view, member, peers)) {
                return view.without(member);
            }
        }
        for (LedgerView.Member member : view.members()) {
            Peer peer = peers.get(member);
            boolean gone = peer == null || peer.silentMs() > GONE_AFTER_MS;
            // Leaving one out of an odd number would not make the quorum smaller.
            if (gone && size % 2 == 0 && size - 1 > least && quorumWithout(view, member, peers)) {
                return view.without(member);
            }
        }
        return null;
    }

    /** Whether a quorum of {@code view} holds all that was acknowledged before it. */
    static boolean settled(LedgerView view, Map<LedgerView.Member, Peer> peers) {
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

    private static boolean quorumWithout(
            LedgerView view, LedgerView.Member left, Map<LedgerView.Member, Peer> peers) {
        LedgerView next = view.without(left);
        long reachable = next.members().stream().filter(member -> reachable(peers, member)).count();
        return reachable >= next.writeQuorum();
    }

    private static boolean reachable(Map<LedgerView.Member, Peer> peers, LedgerView.Member member) {
        Peer peer = peers.get(member);
        return peer != null && peer.reachable();
    }
}
