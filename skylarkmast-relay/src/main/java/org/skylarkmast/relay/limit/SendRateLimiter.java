package org.skylarkmast.relay.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * Grants sends to runners at their rate limits, with a leaky bucket for each runner; thread-safe,
 * no I/O.
 *
 * <p>State: the level of each bucket, in requests. Buckets that have run empty are removed. The
 * state may be lost at any time; a runner then gets at most one more burst.
 */
public final class SendRateLimiter {
    private static final double NS_PER_S = 1e9;
    private static final double MS_PER_S = 1e3;

    private final LongSupplier clockNs;
    private final int burstRequests;
    private final DoubleSupplier initialLevel;
    private final Map<String, Bucket> buckets = new HashMap<>();

    /**
     * The sends granted to a runner that its rate limit has not yet made up for.
     *
     * @param level requests, at least 0
     * @param requestsPerSecond rate at which the level falls
     * @param atNs time of {@code level}
     */
    private record Bucket(double level, double requestsPerSecond, long atNs) {

        double levelAt(long nowNs, double rate) {
            return Math.max(0, level - (nowNs - atNs) / NS_PER_S * rate);
        }

        boolean isEmptyAt(long nowNs) {
            return levelAt(nowNs, requestsPerSecond) == 0;
        }
    }

    /**
     * @param clockNs monotonic clock, in ns
     * @param burstRequests number of requests that may be sent ahead of the rate limit
     * @param initialLevel part of an interval by which the first send to a runner is delayed, in
     *     [0, 1]
     */
    public SendRateLimiter(LongSupplier clockNs, int burstRequests, DoubleSupplier initialLevel) {
        this.clockNs = clockNs;
        this.burstRequests = burstRequests;
        this.initialLevel = initialLevel;
    }

    /** Decides on a request and, if it is granted, counts it against the rate of its runner. */
    public synchronized SendGrant decide(SendRequest request) {
        long nowNs = clockNs.getAsLong();
        double rate = request.requestsPerSecond();
        Bucket bucket = buckets.get(request.incarnation());
        if (bucket == null) {
            buckets.values().removeIf(other -> other.isEmptyAt(nowNs));
            double delayed = initialLevel.getAsDouble();
            bucket = new Bucket(delayed == 0 ? 0 : burstRequests + delayed, rate, nowNs);
            buckets.put(request.incarnation(), bucket);
        }
        double level = bucket.levelAt(nowNs, rate);
        long waitMs = waitMs(level, rate);
        if (waitMs > request.maxWaitMs()) {
            return new SendGrant.Denied(waitMs);
        }
        buckets.put(request.incarnation(), new Bucket(level + 1, rate, nowNs));
        return new SendGrant.Granted(waitMs, waitMs(level + 1, rate));
    }

    /** Time until the level allows another send. */
    private long waitMs(double level, double rate) {
        return (long) Math.ceil(Math.max(0, level - burstRequests) / rate * MS_PER_S);
    }
}
