package org.skylarkmast.relay.limit;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.skylarkmast.relay.runner.Runner;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admits this node's sends to runners, so that a runner's rate limit holds for all entry nodes
 * together; thread-safe.
 *
 * <p>One storage node grants the sends of all entry nodes to a runner. While it does not answer,
 * this node takes an equal share of the limit by itself: with half of the entry nodes cut off from
 * that storage node, a runner gets at most one and a half times its limit.
 */
public final class SendAdmission {
    private static final Logger LOG = LoggerFactory.getLogger(SendAdmission.class);

    /** Limits above this rate are not enforced: a runner never gets that many requests. */
    private static final double MAX_ENFORCED_RATE = 10_000;

    /**
     * Rate at which requests are sent to a runner that states a lower limit, such as zero: without
     * an answer now and then, nobody would learn that the limit has been withdrawn.
     */
    static final double MIN_RATE = 0.25;

    /** Number of entry nodes assumed if it is unknown, well above that of most fleets. */
    private static final int ASSUMED_ENTRY_NODES = 100;

    private final RunnerRateLimits limits;
    private final SendGrantClient storageNodes;
    private final SendRateLimiter ownShare;
    private final IntSupplier entryNodes;
    private final LongSupplier clockNs;
    private final Counter decisions;

    private final Map<String, KnownWait> knownWaits = new ConcurrentHashMap<>();

    /**
     * What the last decision tells about a runner.
     *
     * @param limit the rate limit that it was based on
     * @param acceptsAtNs when the runner accepts another request
     */
    private record KnownWait(double limit, long acceptsAtNs) {}

    /**
     * @param ownShare limits this node's sends to its share while storage nodes do not answer
     * @param entryNodes number of entry nodes last known, 0 if unknown
     * @param clockNs monotonic clock, in ns
     */
    public SendAdmission(
            RunnerRateLimits limits,
            SendGrantClient storageNodes,
            SendRateLimiter ownShare,
            IntSupplier entryNodes,
            LongSupplier clockNs,
            PrometheusRegistry registry) {
        this.limits = limits;
        this.storageNodes = storageNodes;
        this.ownShare = ownShare;
        this.entryNodes = entryNodes;
        this.clockNs = clockNs;
        decisions =
                Counter.builder()
                        .name("skylarkmast_send_grants_total")
                        .help("Decisions on sends to runners that state a rate limit.")
                        .labelNames("source", "outcome")
                        .register(registry);
    }

    /** Returns the rate limits that this node enforces. */
    public RunnerRateLimits limits() {
        return limits;
    }

    /**
     * Requests to send to {@code runner}.
     *
     * @param requestId the request, for the log
     * @param maxWaitMs longest time that the send may be delayed
     */
    public SendGrant admit(Runner runner, String requestId, long maxWaitMs) {
        OptionalDouble limit = enforcedLimit(runner);
        if (limit.isEmpty()) {
            return new SendGrant.Granted(0, 0);
        }
        long knownWaitMs = expectedWaitMs(runner);
        if (knownWaitMs > maxWaitMs) {
            decisions.labelValues("known_wait", "denied").inc();
            return new SendGrant.Denied(knownWaitMs);
        }
        SendRequest request =
                new SendRequest(
                        runner.incarnation(), Math.max(limit.getAsDouble(), MIN_RATE), maxWaitMs);
        Optional<SendGrant> shared = storageNodes.request(request);
        SendGrant grant = shared.orElseGet(() -> decideByOwnShare(request));
        String outcome;
        long nextWaitMs;
        switch (grant) {
            case SendGrant.Granted granted -> {
                outcome = granted.waitMs() > 0 ? "delayed" : "granted";
                nextWaitMs = granted.nextWaitMs();
            }
            case SendGrant.Denied denied -> {
                outcome = "denied";
                nextWaitMs = denied.waitMs();
            }
        }
        long acceptsAtNs = clockNs.getAsLong() + TimeUnit.MILLISECONDS.toNanos(nextWaitMs);
        knownWaits.put(runner.incarnation(), new KnownWait(limit.getAsDouble(), acceptsAtNs));
        String source = shared.isPresent() ? "fleet" : "own_share";
        decisions.labelValues(source, outcome).inc();
        if (grant instanceof SendGrant.Granted granted) {
            logGrant(runner, requestId, limit.getAsDouble(), granted.waitMs(), source);
        }
        return grant;
    }

    private static void logGrant(
            Runner runner, String requestId, double limit, long waitMs, String source) {
        LOG.atInfo()
                .addKeyValue("event", "send_granted")
                .addKeyValue("request", requestId)
                .addKeyValue("runner", runner.id())
                .addKeyValue("limit", limit)
                .addKeyValue("waitMs", waitMs)
                .addKeyValue("source", source)
                .log();
    }

    /**
     * Returns the time until {@code runner} accepts another request, as far as this node knows: the
     * sends of other entry nodes may have made it longer. 0 without a limit.
     */
    public long expectedWaitMs(Runner runner) {
        KnownWait known = knownWaits.get(runner.incarnation());
        OptionalDouble limit = enforcedLimit(runner);
        if (known == null || limit.isEmpty() || limit.getAsDouble() != known.limit()) {
            return 0;
        }
        long waitNs = known.acceptsAtNs() - clockNs.getAsLong();
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(waitNs));
    }

    /** Removes what is known of incarnations that do not match {@code isRegistered}. */
    public void retain(Predicate<String> isRegistered) {
        limits.retain(isRegistered);
        knownWaits.keySet().removeIf(incarnation -> !isRegistered.test(incarnation));
    }

    private OptionalDouble enforcedLimit(Runner runner) {
        OptionalDouble limit = limits.of(runner);
        boolean enforced = limit.isPresent() && limit.getAsDouble() <= MAX_ENFORCED_RATE;
        return enforced ? limit : OptionalDouble.empty();
    }

    private SendGrant decideByOwnShare(SendRequest request) {
        int known = entryNodes.getAsInt();
        double share = request.requestsPerSecond() / (known == 0 ? ASSUMED_ENTRY_NODES : known);
        return ownShare.decide(new SendRequest(request.incarnation(), share, request.maxWaitMs()));
    }
}
