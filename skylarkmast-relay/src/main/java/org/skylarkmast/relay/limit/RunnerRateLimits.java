package org.skylarkmast.relay.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.skylarkmast.relay.runner.Runner;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The rate limit that each runner incarnation stated last, in an answer to this node or, as load
 * reports tell, to another one; thread-safe, no I/O.
 *
 * <p>Holds one entry for each incarnation that has or had a limit; {@link #retain} removes those of
 * incarnations that have been gone for {@link #UNREGISTERED_RETENTION_MS}.
 */
public final class RunnerRateLimits {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerRateLimits.class);

    /** Age above which a statement is not reported any more; the others know it by then. */
    private static final long MAX_REPORT_AGE_MS = 30_000;

    /** Age above which a statement of a runner that is not registered is removed. */
    private static final long UNREGISTERED_RETENTION_MS = 30_000;

    private final LongSupplier clockNs;
    private final Map<String, Statement> statements = new ConcurrentHashMap<>();

    private record Statement(double requestsPerSecond, long statedNs) {

        boolean isLimited() {
            return requestsPerSecond != RateLimitReport.WITHDRAWN;
        }

        Object text() {
            return isLimited() ? requestsPerSecond : "";
        }
    }

    /**
     * @param clockNs monotonic clock, in ns
     */
    public RunnerRateLimits(LongSupplier clockNs) {
        this.clockNs = clockNs;
    }

    /** Records what an answer of {@code runner} to {@code requestId} states. */
    public void record(Runner runner, StatedRateLimit stated, String requestId) {
        long nowNs = clockNs.getAsLong();
        switch (stated) {
            case StatedRateLimit.Limited limited ->
                    put(
                            runner.incarnation(),
                            new Statement(limited.requestsPerSecond(), nowNs),
                            requestId);
            case StatedRateLimit.Unlimited unlimited -> {
                if (statements.containsKey(runner.incarnation())) {
                    Statement withdrawal = new Statement(RateLimitReport.WITHDRAWN, nowNs);
                    put(runner.incarnation(), withdrawal, requestId);
                }
            }
            case StatedRateLimit.Unreadable unreadable ->
                    log(
                            "runner_limit_unreadable",
                            runner.incarnation(),
                            requestId,
                            statements.get(runner.incarnation()),
                            unreadable.value());
        }
    }

    /** Applies what runners stated to other nodes, where it is newer than what this node knows. */
    public void apply(List<RateLimitReport> reports) {
        long nowNs = clockNs.getAsLong();
        for (RateLimitReport report : reports) {
            long statedNs = nowNs - TimeUnit.MILLISECONDS.toNanos(report.ageMs());
            Statement known = statements.get(report.incarnation());
            boolean news = known == null ? report.isLimited() : statedNs - known.statedNs() > 0;
            if (news) {
                put(report.incarnation(), new Statement(report.requestsPerSecond(), statedNs), "");
            }
        }
    }

    private void put(String incarnation, Statement statement, String requestId) {
        Statement previous = statements.put(incarnation, statement);
        boolean wasLimited = previous != null && previous.isLimited();
        if (statement.isLimited()) {
            if (!wasLimited || previous.requestsPerSecond() != statement.requestsPerSecond()) {
                log("runner_limit_stated", incarnation, requestId, previous, statement.text());
            }
        } else if (wasLimited) {
            log("runner_limit_withdrawn", incarnation, requestId, previous, "");
        }
    }

    /** Returns the rate that {@code runner} accepts from all entry nodes, if it is limited. */
    public OptionalDouble of(Runner runner) {
        Statement statement = statements.get(runner.incarnation());
        return statement == null || !statement.isLimited()
                ? OptionalDouble.empty()
                : OptionalDouble.of(statement.requestsPerSecond());
    }

    /** Returns the recent statements, withdrawals included. */
    public List<RateLimitReport> reports() {
        List<RateLimitReport> reports = new ArrayList<>();
        statements.forEach(
                (incarnation, statement) -> {
                    long ageMs = ageMs(statement);
                    if (ageMs <= MAX_REPORT_AGE_MS) {
                        reports.add(
                                new RateLimitReport(
                                        incarnation, statement.requestsPerSecond(), ageMs));
                    }
                });
        return reports;
    }

    /** Returns the number of runners with a limit. */
    public long limitedCount() {
        return statements.values().stream().filter(Statement::isLimited).count();
    }

    /**
     * Removes old statements of incarnations that do not match {@code isRegistered}. Recent ones
     * are kept: leases also run out while the store is away, and the runner then registers again.
     */
    public void retain(Predicate<String> isRegistered) {
        statements
                .entrySet()
                .removeIf(
                        entry ->
                                !isRegistered.test(entry.getKey())
                                        && ageMs(entry.getValue()) > UNREGISTERED_RETENTION_MS);
    }

    private long ageMs(Statement statement) {
        return TimeUnit.NANOSECONDS.toMillis(clockNs.getAsLong() - statement.statedNs());
    }

    private static void log(
            String event, String incarnation, String requestId, Statement previous, Object stated) {
        LOG.atInfo()
                .addKeyValue("event", event)
                .addKeyValue("runner", incarnation)
                .addKeyValue("request", requestId)
                .addKeyValue("stated", stated)
                .addKeyValue("previous", previous == null ? "" : previous.text())
                .log();
    }
}
