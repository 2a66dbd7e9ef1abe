package org.skylarkmast.relay.loadreport;

import java.util.List;
import org.skylarkmast.relay.limit.RateLimitReport;

/**
 * Totals of the load reports of entry nodes.
 *
 * @param runners one total for each runner
 * @param entryNodes number of entry nodes that reported recently, 0 if unknown
 * @param rateLimits the newest statement of each runner that has or recently had a rate limit
 */
public record LoadReportTotals(
        List<RunnerLoadReport> runners, int entryNodes, List<RateLimitReport> rateLimits) {
    public LoadReportTotals {
        runners = List.copyOf(runners);
        rateLimits = List.copyOf(rateLimits);
    }
}
