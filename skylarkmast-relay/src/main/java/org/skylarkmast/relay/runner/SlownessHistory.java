package org.skylarkmast.relay.runner;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * What a runner said about the slowness of its machine. Does no I/O and reads no clock; callers
 * synchronize.
 */
final class SlownessHistory {
    private static final double NS_PER_MS = 1e6;

    /**
     * Age from which a statement is ignored. Statements change many times a second, and a runner is
     * compared by its load up to the same age.
     */
    private static final double MAX_AGE_MS = 400;

    /** Expected rest of a slow period that has just begun: most last a few hundred ms. */
    private static final double INITIAL_REMAINDER_MS = 300;

    /** Longest expected rest of a slow period, about the duration of the longest answers. */
    private static final double MAX_REMAINDER_MS = 10_000;

    /** Longest time between two statements for which the first tells when a period began. */
    private static final long MAX_GAP_NS = TimeUnit.SECONDS.toNanos(1);

    /** Relative deviation from the usual time up to which a period does not count as slow. */
    private static final double TOLERANCE = 0.1;

    /** Bounds of a credible statement. */
    private static final double MIN_FACTOR = 0.1;

    private static final double MAX_FACTOR = 100;

    private double factor = 1;
    private boolean hasStatement;
    private long statedAtNs;
    private long sinceNs;

    /**
     * Records a statement; an answer without one leaves the last in force until its age ends it.
     *
     * @param stated time that work takes, as a multiple of the usual time
     */
    void record(OptionalDouble stated, long nowNs) {
        if (stated.isEmpty()) {
            return;
        }
        double statedFactor = Math.clamp(stated.getAsDouble(), MIN_FACTOR, MAX_FACTOR);
        boolean continues =
                hasStatement
                        && nowNs - statedAtNs <= MAX_GAP_NS
                        && direction(statedFactor) == direction(factor);
        if (!continues) {
            long gapNs = hasStatement ? nowNs - statedAtNs : MAX_GAP_NS;
            // The period began at some time since the last statement.
            sinceNs = nowNs - Math.min(gapNs, MAX_GAP_NS) / 2;
        }
        factor = statedFactor;
        statedAtNs = nowNs;
        hasStatement = true;
    }

    /** Returns the machine's slowness at {@code nowNs}. */
    Slowness at(long nowNs) {
        double ageMs = (nowNs - statedAtNs) / NS_PER_MS;
        if (!hasStatement || ageMs >= MAX_AGE_MS || direction(factor) == 0) {
            return Slowness.NONE;
        }
        // A period is expected to last about as long again as it has lasted.
        double lastedMs = (statedAtNs - sinceNs) / NS_PER_MS;
        double remainingMs = Math.clamp(lastedMs, INITIAL_REMAINDER_MS, MAX_REMAINDER_MS) - ageMs;
        return remainingMs <= 0 ? Slowness.NONE : new Slowness(factor, remainingMs);
    }

    private static int direction(double factor) {
        return Math.abs(factor - 1) <= TOLERANCE ? 0 : factor > 1 ? 1 : -1;
    }
}
