package org.skylarkmast.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which hosts are leaving, based on a host list that lags and flaps.
 *
 * <p>A host is leaving as soon as one list marks it so. It counts as live again only after
 * consecutive lists have shown it as live: either several newer lists over a minimum time, or an
 * unchanged list for a longer time. A leaving host that is missing from a list stays leaving. Not
 * thread-safe.
 */
final class HostStateTracker {
    private static final long NS_PER_MS = 1_000_000L;

    /**
     * Number of the consecutive read with an older revision at which the list is accepted, since
     * its revisions must have restarted.
     */
    private static final int OLDER_READS_BEFORE_RESET = 10;

    private final MembershipSettings settings;
    private final Map<String, LiveStreak> leaving = new HashMap<>();
    private long revision = Long.MIN_VALUE;
    private int olderReads;

    /** Consecutive lists that showed a leaving host as live. */
    private static final class LiveStreak {
        private int revisions;
        private long sinceNs;
    }

    HostStateTracker(MembershipSettings settings) {
        this.settings = settings;
    }

    List<MembershipAction> onHostList(HostList list, long nowNs) {
        List<MembershipAction> actions = new ArrayList<>();
        if (list.revision() < revision && ++olderReads < OLDER_READS_BEFORE_RESET) {
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
                            boolean returned = liveAgain(host.getValue(), live, newer, nowNs);
                            if (returned) {
                                actions.add(new MembershipAction.HostLeaving(host.getKey(), false));
                            }
                            return returned;
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
        long liveNs = nowNs - streak.sinceNs;
        return liveNs >= settings.unchangedLiveMs() * NS_PER_MS
                || (streak.revisions >= settings.minLiveRevisions()
                        && liveNs >= settings.minLiveMs() * NS_PER_MS);
    }
}
