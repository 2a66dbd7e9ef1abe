package org.skylarkmast.relay.limit;

import java.util.function.DoubleSupplier;

/**
 * This node's share of an allowance while its granter does not answer; not thread-safe, time passed
 * in.
 *
 * <p>Most nodes' shares are less than one request. Each request is admitted at a level drawn
 * between 0 and 1, so that all nodes together admit as much as the sum of their shares.
 */
final class OwnShare {
    private static final double NS_PER_S = 1e9;
    private static final double MS_PER_S = 1e3;

    private final DoubleSupplier random;
    private final double requestsPerSecond;
    private final double capacity;
    private double level;
    private double threshold;
    private long atNs;

    /**
     * @param requestsPerSecond this node's share of the rate
     * @param capacity requests that it can save up
     * @param level this node's share of the tolerance, with which it starts
     * @param random uniform in [0, 1)
     */
    OwnShare(
            double requestsPerSecond,
            double capacity,
            double level,
            DoubleSupplier random,
            long nowNs) {
        this.requestsPerSecond = requestsPerSecond;
        this.capacity = capacity;
        this.level = level;
        this.random = random;
        this.threshold = 1 - random.getAsDouble();
        this.atNs = nowNs;
    }

    /** Takes a place; returns false if the share is used up. */
    boolean take(long nowNs) {
        refill(nowNs);
        if (level < threshold) {
            return false;
        }
        level -= 1;
        threshold = 1 - random.getAsDouble();
        return true;
    }

    private void refill(long nowNs) {
        level = Math.min(capacity, level + (nowNs - atNs) / NS_PER_S * requestsPerSecond);
        atNs = nowNs;
    }

    double level() {
        return level;
    }

    /** Returns the time until the next place, in ms. */
    double waitMs() {
        return Math.max(0, threshold - level) / requestsPerSecond * MS_PER_S;
    }
}
