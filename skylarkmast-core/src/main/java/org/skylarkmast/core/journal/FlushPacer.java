package org.skylarkmast.core.journal;

/**
 * Decides when the next write to the key-value service may start.
 *
 * <p>An idle journal writes at once. A busy one writes no more often than its share of the
 * service's write rate, and no sooner after a write than that write took: a slow service gets fewer
 * and larger batches. After a failure the pause doubles. Not thread-safe.
 */
public final class FlushPacer {
    private static final long NS_PER_SECOND = 1_000_000_000L;

    /** Weight of the newest latency in the moving average. */
    private static final double LATENCY_WEIGHT = 0.2;

    /** Writes that may follow each other at once after a quiet time. */
    private static final double BURST_WRITES = 4;

    private static final long FIRST_RETRY_NS = 20_000_000L;
    private static final long LONGEST_RETRY_NS = 1_000_000_000L;

    private final double writesPerSecond;

    private double allowance = BURST_WRITES;
    private long allowanceAtNs;
    private boolean started;
    private double latencyNs;
    private long notBeforeNs;
    private long retryNs;

    /**
     * Creates a pacer.
     *
     * @param writesPerSecond this journal's share of the service's write rate, above 0
     */
    public FlushPacer(double writesPerSecond) {
        if (!(writesPerSecond > 0)) {
            throw new IllegalArgumentException("writesPerSecond must be above 0");
        }
        this.writesPerSecond = writesPerSecond;
    }

    /** Time to wait before the next write, in nanoseconds; 0 if it may start now. */
    public long delayNs(long nowNs) {
        refill(nowNs);
        long forRate =
                allowance >= 1 ? 0 : (long) ((1 - allowance) * NS_PER_SECOND / writesPerSecond) + 1;
        long forPause = started ? Math.max(0, notBeforeNs - nowNs) : 0;
        return Math.max(forRate, forPause);
    }

    /** A write starts. */
    public void started(long nowNs) {
        refill(nowNs);
        allowance -= 1;
    }

    /** A write was answered after {@code tookNs}. */
    public void answered(long tookNs, long nowNs) {
        latencyNs = latencyNs == 0 ? tookNs : latencyNs + LATENCY_WEIGHT * (tookNs - latencyNs);
        retryNs = 0;
        notBeforeNs = nowNs + (long) (latencyNs / 2);
    }

    /** A write was refused, or its answer was lost. */
    public void failed(long nowNs) {
        retryNs = retryNs == 0 ? FIRST_RETRY_NS : Math.min(LONGEST_RETRY_NS, retryNs * 2);
        notBeforeNs = nowNs + retryNs;
    }

    /** Moving average of the time a write takes, in nanoseconds. */
    public double latencyNs() {
        return latencyNs;
    }

    private void refill(long nowNs) {
        if (!started) {
            started = true;
            allowanceAtNs = nowNs;
            notBeforeNs = nowNs;
        }
        double earned = (double) (nowNs - allowanceAtNs) * writesPerSecond / NS_PER_SECOND;
        allowance = Math.min(BURST_WRITES, allowance + earned);
        allowanceAtNs = nowNs;
    }
}
