package org.skylarkmast.core.journal;

/**
 * Decides when the next write to the key-value service may start.
 *
 * <p>An idle journal writes immediately. A busy one is limited to its share of the service's write
 * rate by a token bucket. It also waits after each write for half the average write latency, so
 * that a slow service receives fewer and larger batches. The delay doubles with each consecutive
 * failure. Not thread-safe.
 */
public final class FlushPacer {
    private static final long NS_PER_SECOND = 1_000_000_000L;

    /** Weight of the latest sample in the moving average of the write latency. */
    private static final double LATENCY_WEIGHT = 0.2;

    /**
     * Capacity of the token bucket: writes that may follow each other without delay after an idle
     * period.
     */
    private static final double BURST_WRITES = 4;

    private static final long MIN_RETRY_DELAY_NS = 20_000_000L;
    private static final long MAX_RETRY_DELAY_NS = 1_000_000_000L;

    private final double writesPerSecond;

    private double tokens = BURST_WRITES;
    private long refilledAtNs;
    private boolean started;
    private double latencyNs;
    private long notBeforeNs;
    private long retryDelayNs;

    /**
     * Creates a pacer.
     *
     * @param writesPerSecond this journal's share of the service's write rate; greater than 0
     */
    public FlushPacer(double writesPerSecond) {
        if (!(writesPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "writesPerSecond must be greater than 0, got " + writesPerSecond);
        }
        this.writesPerSecond = writesPerSecond;
    }

    /** Time to wait before the next write, in nanoseconds; 0 if it may start now. */
    public long delayNs(long nowNs) {
        refill(nowNs);
        long rateDelayNs =
                tokens >= 1 ? 0 : (long) ((1 - tokens) * NS_PER_SECOND / writesPerSecond) + 1;
        long pauseNs = started ? Math.max(0, notBeforeNs - nowNs) : 0;
        return Math.max(rateDelayNs, pauseNs);
    }

    /** Records the start of a write. */
    public void writeStarted(long nowNs) {
        refill(nowNs);
        tokens -= 1;
    }

    /** Records that a write completed after {@code durationNs}. */
    public void writeCompleted(long durationNs, long nowNs) {
        latencyNs =
                latencyNs == 0 ? durationNs : latencyNs + LATENCY_WEIGHT * (durationNs - latencyNs);
        retryDelayNs = 0;
        notBeforeNs = nowNs + (long) (latencyNs / 2);
    }

    /** Records that a write was refused or its answer was lost. */
    public void writeFailed(long nowNs) {
        retryDelayNs =
                retryDelayNs == 0
                        ? MIN_RETRY_DELAY_NS
                        : Math.min(MAX_RETRY_DELAY_NS, retryDelayNs * 2);
        notBeforeNs = nowNs + retryDelayNs;
    }

    /** Moving average of the write latency, in nanoseconds. */
    public double latencyNs() {
        return latencyNs;
    }

    private void refill(long nowNs) {
        if (!started) {
            started = true;
            refilledAtNs = nowNs;
            notBeforeNs = nowNs;
        }
        double refilled = (double) (nowNs - refilledAtNs) * writesPerSecond / NS_PER_SECOND;
        tokens = Math.min(BURST_WRITES, tokens + refilled);
        refilledAtNs = nowNs;
    }
}
