package org.skylarkmast.relay.warmup;

/**
 * Bounds of a warm-up.
 *
 * @param rounds number of rounds after which it has reached its aim
 * @param processorMs processor time of the whole process from its beginning
 * @param durationMs time from its beginning
 * @param readyTimeoutMs time for which the node may not be ready before the warm-up is given up
 */
public record WarmUpLimits(int rounds, long processorMs, long durationMs, long readyTimeoutMs) {

    /**
     * Limits for an entry node on the platform.
     *
     * <p>Four rounds cost about as much processor time as they save in the first 200 requests;
     * later rounds cost more than they save (docs/pages/platform.md). The duration covers a machine
     * with 0.12 cores, on which the processor time is used up in about 7 s.
     */
    public static final WarmUpLimits DEFAULT = new WarmUpLimits(4, 800, 15_000, 60_000);
}
