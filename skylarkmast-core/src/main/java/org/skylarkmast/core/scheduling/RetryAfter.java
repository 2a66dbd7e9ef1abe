package org.skylarkmast.core.scheduling;

import java.util.function.DoubleSupplier;

/** Computes when a refused caller should retry; jitter keeps callers from retrying all at once. */
final class RetryAfter {
    private static final double MIN_MS = 500;
    private static final double MAX_MS = 60_000;
    private static final double DEFAULT_MS = 5_000;
    private static final double JITTER = 0.5;
    private static final double NS_PER_MS = 1e6;

    private final DoubleSupplier random;

    RetryAfter(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Time until the calls queued now should have been sent, or until a runner is available again.
     */
    long ms(DestinationPool pool, long nowNs) {
        long unavailableNs = pool.unavailableNs(nowNs);
        if (unavailableNs < 0) {
            return defaultMs();
        }
        double waitNs = Math.max((double) unavailableNs, pool.predictedWaitNs(pool.queue.size()));
        waitNs = Math.max(waitNs, pool.refusedProgramsDrainNs());
        return withJitter(waitNs / NS_PER_MS);
    }

    /** The delay used when the duration of the cause is unknown. */
    long defaultMs() {
        return withJitter(DEFAULT_MS);
    }

    private long withJitter(double ms) {
        return Math.round(Math.clamp(ms, MIN_MS, MAX_MS) * (1 + JITTER * random.getAsDouble()));
    }
}
