package org.skylarkmast.relay.storage;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkmast.relay.ledger.LedgerView;

/**
 * Decides on the next view; has no side effects.
 *
 * <p>Reacts to hosts that are added, lost for good or being retired. A view is followed by the next
 * once a quorum of its members are synced to it, that is, each of them holds all records
 * acknowledged before it: then every record has a quorum of copies again. If so many members are
 * gone that no quorum is left, a {@linkplain LedgerView#recoveryQuorum() recovery quorum} of synced
 * members still holds all records, and the next view leaves out a member that does not answer.
 */
final class ViewChange {

    /** Time without a response after which a member may be removed from the view. */
    static final long LOST_AFTER_MS = 6000;

    /**
     * Time without a response after which a member may be removed from a view without a quorum.
     * Nothing is served until one is removed, but a process that restarts should not be.
     */
    static final long SILENT_AFTER_MS = 3000;

    /** Time since the last response up to which a storage node counts as reachable. */
    static final long REACHABLE_MS = 1500;

    private ViewChange() {}

    /**
     * A storage node as seen by another.
     *
     * @param status its last reported status, or null if it never answered
     * @param sinceResponseMs time since its last response, or since the first failed ping if it
     *     never answered
     * @param missedLastPing whether the last ping failed
     */
    record Peer(StorageNodeStatus status, long sinceResponseMs, boolean missedLastPing) {

        boolean reachable() {
            return status != null && sinceResponseMs < REACHABLE_MS;
        }

        /** Whether it answered just before, but may have been lost since. */
        boolean uncertain() {
            return reachable() && missedLastPing;
        }
    }

    /**
     * Returns the next view, or null if no change is due.
     *
     * @param peers the state of members and candidates, including this storage node
     * @param candidates registered storage nodes
     * @param retiring names of hosts being retired
     * @param minMembers number of storage nodes below which a view must not shrink; one more than
     *     the number of losses to bear
     */
    static LedgerView next(
            LedgerView view,
            Map<LedgerView.Member, Peer> peers,
            List<LedgerView.Member> candidates,
            Set<String> retiring,
            int minMembers) {
        long synced = syncedCount(view, view, peers);
        if (synced < view.recoveryQuorum()) {
            return null;
        }
        LedgerView.Member ready = firstReady(view, peers, candidates, retiring);
        if (synced < view.writeQuorum()) {
            return nextWithoutQuorum(view, peers, ready, minMembers);
        }
        if (view.members().stream().anyMatch(member -> isUncertain(member, peers))) {
            // With a lost member among them, more members would not bear more losses.
            return null;
        }
        if (ready != null) {
            return view.with(ready);
        }
        int size = view.members().size();
        for (LedgerView.Member member : view.members()) {
            if (size > minMembers
                    && retiring.contains(member.node())
                    && canBearLosses(view.without(member), view, peers, minMembers - 1)) {
                return view.without(member);
            }
        }
        // At an odd size the write quorum stays as it is, but the recovery quorum gets smaller.
        LedgerView.Member lost = longestSilent(view, peers, LOST_AFTER_MS);
        return lost != null && size > minMembers ? view.without(lost) : null;
    }

    /**
     * The next view of one whose remaining members are a recovery quorum, but not a write quorum;
     * its size is even. A storage node that waits to be added takes the place of the lost one:
     * beside it, the lost one would count towards the size of the next view.
     */
    private static LedgerView nextWithoutQuorum(
            LedgerView view,
            Map<LedgerView.Member, Peer> peers,
            LedgerView.Member ready,
            int minMembers) {
        LedgerView.Member silent = longestSilent(view, peers, SILENT_AFTER_MS);
        if (silent == null) {
            return null;
        }
        LedgerView next = null;
        if (ready != null) {
            next = view.replacing(silent, ready);
        } else if (view.members().size() > minMembers) {
            next = view.without(silent);
        }
        boolean hasQuorum = next != null && syncedCount(next, view, peers) >= next.writeQuorum();
        return hasQuorum ? next : null;
    }

    /**
     * Whether a storage node that was retired may be taken away: a quorum of {@code view} is synced
     * to it, and records and service survive {@code losses} more.
     */
    static boolean canBearLosses(LedgerView view, Map<LedgerView.Member, Peer> peers, int losses) {
        return canBearLosses(view, view, peers, losses);
    }

    private static boolean canBearLosses(
            LedgerView next, LedgerView view, Map<LedgerView.Member, Peer> peers, int losses) {
        return syncedCount(next, view, peers)
                >= Math.max(next.writeQuorum(), next.recoveryQuorum() + losses);
    }

    /** Number of reachable members of {@code next} that are synced to {@code view}. */
    private static long syncedCount(
            LedgerView next, LedgerView view, Map<LedgerView.Member, Peer> peers) {
        return next.members().stream().filter(member -> isSynced(view, member, peers)).count();
    }

    private static boolean isSynced(
            LedgerView view, LedgerView.Member member, Map<LedgerView.Member, Peer> peers) {
        Peer peer = peers.get(member);
        return peer != null
                && peer.reachable()
                && peer.status().syncedVersion() == view.version()
                && peer.status().view().version() == view.version();
    }

    private static boolean isUncertain(
            LedgerView.Member member, Map<LedgerView.Member, Peer> peers) {
        Peer peer = peers.get(member);
        return peer != null && peer.uncertain();
    }

    private static LedgerView.Member firstReady(
            LedgerView view,
            Map<LedgerView.Member, Peer> peers,
            List<LedgerView.Member> candidates,
            Set<String> retiring) {
        for (LedgerView.Member candidate : candidates) {
            if (!view.contains(candidate)
                    && !retiring.contains(candidate.node())
                    && isSynced(view, candidate, peers)) {
                return candidate;
            }
        }
        return null;
    }

    private static LedgerView.Member longestSilent(
            LedgerView view, Map<LedgerView.Member, Peer> peers, long minSilenceMs) {
        LedgerView.Member longest = null;
        long longestMs = minSilenceMs;
        for (LedgerView.Member member : view.members()) {
            Peer peer = peers.get(member);
            long silenceMs = peer == null ? Long.MAX_VALUE : peer.sinceResponseMs();
            if (silenceMs > longestMs) {
                longest = member;
                longestMs = silenceMs;
            }
        }
        return longest;
    }
}
