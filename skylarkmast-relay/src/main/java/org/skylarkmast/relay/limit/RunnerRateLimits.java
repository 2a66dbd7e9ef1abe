package org.skylarkmast.relay.limit;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.skylarkmast.relay.runner.Runner;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The rate limit that each runner incarnation stated with its last answer; thread-safe, no I/O.
 *
 * <p>Holds one entry for each incarnation with a limit; {@link #retain} removes those of
 * incarnations that are gone.
 */
public final class RunnerRateLimits {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerRateLimits.class);

    private final Map<String, Double> requestsPerSecond = new ConcurrentHashMap<>();

    /** Records what an answer of {@code runner} to {@code requestId} states. */
    public void record(Runner runner, StatedRateLimit stated, String requestId) {
        switch (stated) {
            case StatedRateLimit.Limited limited -> {
                double limit = limited.requestsPerSecond();
                Double previous = requestsPerSecond.put(runner.incarnation(), limit);
                if (previous == null || previous != limit) {
                    log("runner_limit_stated", runner, requestId, previous, limit);
                }
            }
            case StatedRateLimit.Unlimited unlimited -> {
                Double previous = requestsPerSecond.remove(runner.incarnation());
                if (previous != null) {
                    log("runner_limit_withdrawn", runner, requestId, previous, "");
                }
            }
            case StatedRateLimit.Unreadable unreadable ->
                    log(
                            "runner_limit_unreadable",
                            runner,
                            requestId,
                            requestsPerSecond.get(runner.incarnation()),
                            unreadable.value());
        }
    }

    /** Returns the rate that {@code runner} accepts from all entry nodes, if it is limited. */
    public OptionalDouble of(Runner runner) {
        Double limit = requestsPerSecond.get(runner.incarnation());
        return limit == null ? OptionalDouble.empty() : OptionalDouble.of(limit);
    }

    /** Returns the number of runners with a limit. */
    public int size() {
        return requestsPerSecond.size();
    }

    /** Removes the limits of incarnations that do not match {@code isRegistered}. */
    public void retain(Predicate<String> isRegistered) {
        requestsPerSecond.keySet().removeIf(incarnation -> !isRegistered.test(incarnation));
    }

    private static void log(
            String event, Runner runner, String requestId, Double previous, Object stated) {
        LOG.atInfo()
                .addKeyValue("event", event)
                .addKeyValue("runner", runner.id())
                .addKeyValue("request", requestId)
                .addKeyValue("stated", stated)
                .addKeyValue("previous", previous == null ? "" : previous)
                .log();
    }
}
