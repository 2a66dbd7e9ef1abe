package org.skylarkmast.relay.storage;

import java.util.Map;
import org.skylarkmast.relay.ledger.LedgerView;

/**
 * Decides whether a storage node has read enough others to hold all records acknowledged before a
 * view; has no side effects.
 *
 * <p>A storage node that answers under a view acknowledges no write under an earlier one any more,
 * so what is read from it contains all that it ever acknowledged under those.
 */
final class SyncRule {

    private SyncRule() {}

    /**
     * Returns whether {@code self} holds all records acknowledged before {@code view}.
     *
     * @param previous the view before {@code view}, or null if it is unknown
     * @param ownSyncedVersion version of a view before which {@code self} held all acknowledged
     *     records until now, 0 if its disk has never held them
     * @param readVersions the storage nodes that were read under {@code view}, each with the
     *     version of a view before which it holds all acknowledged records
     */
    static boolean isComplete(
            LedgerView view,
            LedgerView previous,
            LedgerView.Member self,
            long ownSyncedVersion,
            Map<LedgerView.Member, Long> readVersions) {
        if (view.version() == 1 && view.contains(self)) {
            return true;
        }
        if (ownSyncedVersion == 0) {
            // Records of this view may have had a copy on its former disk: read the other copies.
            return countInView(view, self, readVersions, view.version()) >= view.recoveryQuorum();
        }
        if (isAnySynced(readVersions, view.version())) {
            return true;
        }
        long previousVersion = view.version() - 1;
        boolean completeBeforePrevious =
                ownSyncedVersion >= previousVersion || isAnySynced(readVersions, previousVersion);
        return completeBeforePrevious
                && (holdsAllOfPrevious(previous, self, readVersions)
                        || countInView(view, self, readVersions, 1) >= view.recoveryQuorum());
    }

    private static boolean isAnySynced(Map<LedgerView.Member, Long> readVersions, long version) {
        return readVersions.values().stream().anyMatch(read -> read >= version);
    }

    /**
     * Whether {@code self} and those read include a copy of all that {@code previous} acknowledged:
     * a member's disk holds what the member wrote, even if it is not synced to {@code previous}.
     */
    private static boolean holdsAllOfPrevious(
            LedgerView previous,
            LedgerView.Member self,
            Map<LedgerView.Member, Long> readVersions) {
        if (previous == null) {
            return false;
        }
        int own = previous.contains(self) ? 1 : 0;
        return own + countInView(previous, self, readVersions, 1) >= previous.recoveryQuorum();
    }

    private static long countInView(
            LedgerView view,
            LedgerView.Member self,
            Map<LedgerView.Member, Long> readVersions,
            long minVersion) {
        return view.members().stream()
                .filter(member -> !member.equals(self))
                .filter(member -> readVersions.getOrDefault(member, 0L) >= minVersion)
                .count();
    }
}
