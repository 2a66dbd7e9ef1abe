package org.skylarkmast.relay.loadreport;

import java.util.List;
import org.skylarkmast.relay.limit.RateLimitReport;
import org.skylarkmast.relay.peer.PeerNode;

/**
 * Totals of the load reports of entry nodes.
 *
 * @param runners one total for each runner
 * @param entryNodes number of entry nodes that reported recently, 0 if unknown
 * @param rateLimits the newest statement of each runner that has or recently had a rate limit
 * @param peers some of the entry nodes that take requests of other entry nodes
 */
public record LoadReportTotals(
        List<RunnerLoadReport> runners,
        int entryNodes,
        List<RateLimitReport> rateLimits,
        List<PeerNode> peers) {
    public LoadReportTotals {
        runners = List.copyOf(runners);
        rateLimits = List.copyOf(rateLimits);
        peers = List.copyOf(peers);
    }
}
