package org.skylarkmast.relay.loadreport;

import java.util.List;
import org.skylarkmast.relay.limit.RateLimitReport;
import org.skylarkmast.relay.peer.PeerNode;
import org.skylarkmast.relay.quarantine.QuarantineReport;

/**
 * Totals of the load reports of entry nodes.
 *
 * @param runners one total for each runner
 * @param entryNodes number of entry nodes that reported recently, 0 if unknown
 * @param rateLimits the newest statement of each runner that has or recently had a rate limit
 * @param peers some of the entry nodes that take requests of other entry nodes
 * @param quarantine crashes of runners and the requests suspected of them
 */
public record LoadReportTotals(
        List<RunnerLoadReport> runners,
        int entryNodes,
        List<RateLimitReport> rateLimits,
        List<PeerNode> peers,
        QuarantineReport quarantine) {
    public LoadReportTotals {
        runners = List.copyOf(runners);
        rateLimits = List.copyOf(rateLimits);
        peers = List.copyOf(peers);
    }
}
