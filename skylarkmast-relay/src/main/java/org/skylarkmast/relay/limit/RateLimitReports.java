package org.skylarkmast.relay.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The newest report about the rate limit of each runner; not thread-safe, no I/O.
 *
 * <p>Reports are kept for {@link #RETENTION_MS}, since nobody removes those of runners that are
 * gone.
 */
public final class RateLimitReports {

    /** Time after which a report is dropped; every entry node has received it by then. */
    private static final long RETENTION_MS = 30_000;

    private final LongSupplier clockNs;
    private final Map<String, Received> newest = new HashMap<>();

    private record Received(double requestsPerSecond, long statedNs) {}

    /**
     * @param clockNs monotonic clock, in ns
     */
    public RateLimitReports(LongSupplier clockNs) {
        this.clockNs = clockNs;
    }

    /** Merges reports, of which the newest about each runner is kept. */
    public void merge(List<RateLimitReport> reports) {
        long nowNs = clockNs.getAsLong();
        for (RateLimitReport report : reports) {
            long statedNs = nowNs - TimeUnit.MILLISECONDS.toNanos(report.ageMs());
            newest.merge(
                    report.incarnation(),
                    new Received(report.requestsPerSecond(), statedNs),
                    (known, received) ->
                            received.statedNs() - known.statedNs() > 0 ? received : known);
        }
    }

    /** Returns the newest report about each runner, with its present age. */
    public List<RateLimitReport> newest() {
        long nowNs = clockNs.getAsLong();
        newest.values()
                .removeIf(
                        received ->
                                TimeUnit.NANOSECONDS.toMillis(nowNs - received.statedNs())
                                        > RETENTION_MS);
        List<RateLimitReport> reports = new ArrayList<>();
        newest.forEach(
                (incarnation, received) ->
                        reports.add(
                                new RateLimitReport(
                                        incarnation,
                                        received.requestsPerSecond(),
                                        TimeUnit.NANOSECONDS.toMillis(
                                                nowNs - received.statedNs()))));
        return reports;
    }
}
