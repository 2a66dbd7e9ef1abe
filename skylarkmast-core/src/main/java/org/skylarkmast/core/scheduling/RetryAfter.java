package org.skylarkmast.core.scheduling;

import java.util.function.DoubleSupplier;

/** Computes when a refused caller should come back; spread out, so that they do not all at once. */
final class RetryAfter {
    private static final double MIN_MS = 500;
    private static final double MAX_MS = 60_000;
    private static final double UNKNOWN_MS = 5_000;
    private static final double SPREAD = 0.5;
    private static final double NS_PER_MS = 1e6;

    private final DoubleSupplier random;

    RetryAfter(DoubleSupplier random) {
        this.random = random;
    }

    /** When the calls that wait now should be gone, or a runner be back. */
    long ms(DestinationPool pool, long nowNs) {
        long unavailableNs = pool.unavailableNs(nowNs);
        if (unavailableNs < 0) {
            return unknownMs();
        }
        double waitNs = Math.max((double) unavailableNs, pool.predictedWaitNs(pool.queue.size()));
        waitNs = Math.max(waitNs, pool.returnNs());
        return spread(waitNs / NS_PER_MS);
    }

    /** When nothing tells how long the cause will last. */
    long unknownMs() {
        return spread(UNKNOWN_MS);
    }

    private long spread(double ms) {
        return Math.round(Math.clamp(ms, MIN_MS, MAX_MS) * (1 + SPREAD * random.getAsDouble()));
    }
}
