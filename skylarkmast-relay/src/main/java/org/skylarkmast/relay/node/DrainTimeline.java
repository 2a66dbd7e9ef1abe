package org.skylarkmast.relay.node;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * The times of a node's shutdown: how long it accepts connections, when it ends, and which requests
 * can still be served.
 *
 * <p>Without a shutdown under way, every request is served. Thread-safe.
 */
final class DrainTimeline {

    /** Fraction of the grace period left unused, so that the process exits before it is killed. */
    private static final double UNUSED_GRACE_FRACTION = 1.0 / 6;

    /** Time for the load balancer to notice that the node is not ready. */
    private static final long READINESS_NOTICE_MS = 2500;

    /** Time to write the answer of a request that reaches its time limit. */
    private static final long ANSWER_MS = 50;

    /** Time to answer the requests that are still in progress when the node stops serving. */
    private static final long LAST_ANSWERS_MS = 100;

    private static final long NOT_STARTED = Long.MIN_VALUE;

    private final long durationMs;
    private final LongSupplier clockNs;
    private final AtomicLong startedNs = new AtomicLong(NOT_STARTED);

    /**
     * @param graceMs time from the termination signal until the process is killed
     * @param clockNs monotonic clock, in ns
     */
    DrainTimeline(long graceMs, LongSupplier clockNs) {
        this.durationMs = (long) (graceMs * (1 - UNUSED_GRACE_FRACTION));
        this.clockNs = clockNs;
    }

    /** Starts the shutdown, unless it has started. */
    void start() {
        startedNs.compareAndSet(NOT_STARTED, clockNs.getAsLong());
    }

    /** Whether the shutdown has started. */
    boolean hasStarted() {
        return startedNs.get() != NOT_STARTED;
    }

    /** Time since the start of the shutdown, 0 before it. */
    long elapsedMs() {
        long started = startedNs.get();
        return started == NOT_STARTED
                ? 0
                : TimeUnit.NANOSECONDS.toMillis(clockNs.getAsLong() - started);
    }

    /** Whether the node accepts connections, since the load balancer may still send callers. */
    boolean isAccepting() {
        return !hasStarted() || elapsedMs() < Math.min(READINESS_NOTICE_MS, durationMs);
    }

    /** Whether the node waits for requests in progress. */
    boolean isServing() {
        return !hasStarted() || elapsedMs() < durationMs;
    }

    /** Whether the process ends even if requests are in progress. */
    boolean hasEnded() {
        return hasStarted() && elapsedMs() >= durationMs + LAST_ANSWERS_MS;
    }

    /**
     * Returns whether a request that may last {@code limitMs} is served.
     *
     * <p>While the node accepts connections it serves every request, since the load balancer still
     * sends callers here and nearly all answers take far less than their limit. Afterwards only a
     * request on an open connection can arrive, and another node serves it in full if this one
     * might end first.
     */
    boolean admits(long limitMs) {
        return isAccepting() || elapsedMs() + limitMs + ANSWER_MS <= durationMs;
    }
}
