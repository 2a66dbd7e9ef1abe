package org.skylarkmast.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which hosts are leaving, from a host list that lags and flaps.
 *
 * <p>A host is leaving from the first list that says so. It counts as live again only once lists
 * have shown it as live without a break: several newer ones over a least time, or an unchanged one
 * for a long time. A host that is missing keeps its state. Not thread-safe.
 */
final class HostStates {
    private static final long NS_PER_MS = 1_000_000L;

    /** Reads of older lists in a row after which the list is taken to count anew. */
    private static final int OLDER_READS = 10;

    private final MembershipSettings settings;
    private final Map<String, LiveStreak> leaving = new HashMap<>();
    private long revision = Long.MIN_VALUE;
    private int olderReads;

    /** Lists in a row that showed a leaving host as live. */
    private static final class LiveStreak {
        private int revisions;
        private long sinceNs;
    }

    HostStates(MembershipSettings settings) {
        this.settings = settings;
    }

    List<MembershipAction> read(HostList list, long nowNs) {
        List<MembershipAction> actions = new ArrayList<>();
        if (list.revision() < revision && ++olderReads < OLDER_READS) {
            return actions;
        }
        boolean newer = list.revision() != revision;
        olderReads = 0;
        revision = list.revision();
        Set<String> shownLive = new HashSet<>();
        for (HostList.Host host : list.hosts()) {
            if (!host.leaving()) {
                shownLive.add(host.address());
            } else if (leaving.put(host.address(), new LiveStreak()) == null) {
                actions.add(new MembershipAction.HostLeaving(host.address(), true));
            }
        }
        leaving.entrySet()
                .removeIf(
                        host -> {
                            boolean live = shownLive.contains(host.getKey());
                            boolean back = liveAgain(host.getValue(), live, newer, nowNs);
                            if (back) {
                                actions.add(new MembershipAction.HostLeaving(host.getKey(), false));
                            }
                            return back;
                        });
        return actions;
    }

    private boolean liveAgain(LiveStreak streak, boolean live, boolean newer, long nowNs) {
        if (!live) {
            streak.revisions = 0;
            return false;
        }
        if (streak.revisions == 0) {
            streak.sinceNs = nowNs;
            streak.revisions = 1;
        } else if (newer) {
            streak.revisions++;
        }
        long shownNs = nowNs - streak.sinceNs;
        return shownNs >= settings.liveUnchangedMs() * NS_PER_MS
                || (streak.revisions >= settings.liveRevisions()
                        && shownNs >= settings.liveAgainMs() * NS_PER_MS);
    }
}
