package org.skylarkmast.relay.loadreport;

import java.util.List;
import org.skylarkmast.relay.limit.RateLimitReport;
import org.skylarkmast.relay.quarantine.QuarantineReport;

/**
 * What an entry node reports to a storage node.
 *
 * @param process name of its process, different after each start
 * @param runners what it observed of runners since its last report
 * @param rateLimits what runners stated about their rate limits
 * @param peerAddress {@code host:port} at which it takes requests of other entry nodes; empty if it
 *     takes none at present
 * @param quarantine crashes of runners that it observed, and requests suspected of them
 */
public record EntryNodeReport(
        String process,
        List<RunnerLoadReport> runners,
        List<RateLimitReport> rateLimits,
        String peerAddress,
        QuarantineReport quarantine) {
    public EntryNodeReport {
        runners = List.copyOf(runners);
        rateLimits = List.copyOf(rateLimits);
    }
}
