package org.skylarkmast.core.scheduling.routing;

/**
 * The cost of sending a call to a runner, as time in nanoseconds.
 *
 * @param countsEviction whether evicting other programs' prefixes adds to the cost
 */
public record CostModel(boolean countsEviction) {
    private static final double REUSE_PROBABILITY = 0.5;

    /**
     * Resource demand of a call.
     *
     * @param promptTokens length of the whole prompt; 0 for a plain service
     * @param expectedOutputTokens expected length of the answer; 0 for a plain service
     * @param cacheWeight cost of the time spent prefilling an uncached token, relative to latency
     * @param meanPrefillTokenNs prefill time per token, averaged over the runners of the
     *     destination
     */
    public record Demand(
            double promptTokens,
            double expectedOutputTokens,
            double cacheWeight,
            double meanPrefillTokenNs) {}

    /** Estimated time until the first answer token, in nanoseconds, if the call were sent now. */
    public double firstOutputNs(RunnerState runner, double uncachedTokens) {
        RunnerSpeed speed = runner.speed();
        double tokens = runner.outstandingPrefillTokens() + uncachedTokens;
        return slotWaitNs(runner)
                + speed.prefillNs(tokens)
                + speed.interTokenNs(runner.inFlightCalls());
    }

    /** The total cost of a model call. */
    public double modelCallCostNs(RunnerState runner, Demand demand, double cachedTokens) {
        double uncachedTokens = Math.max(0, demand.promptTokens() - cachedTokens);
        double latencyNs =
                firstOutputNs(runner, uncachedTokens)
                        + demand.expectedOutputTokens()
                                * runner.speed().interTokenNs(runner.inFlightCalls());
        double recomputeNs = demand.cacheWeight() * uncachedTokens * demand.meanPrefillTokenNs();
        return latencyNs * runner.overdueFactor()
                + recomputeNs
                + evictionNs(runner, uncachedTokens);
    }

    /** The total cost of a call to a plain service. */
    public double serviceCallCostNs(RunnerState runner) {
        double loadFactor = 1 + (double) runner.inFlightCalls() / runner.limit().maxInFlight();
        double latencyNs = slotWaitNs(runner) + runner.speed().callNs() * loadFactor;
        return latencyNs * runner.overdueFactor();
    }

    private double evictionNs(RunnerState runner, double uncachedTokens) {
        if (!countsEviction) {
            return 0;
        }
        double evicted = Math.clamp(uncachedTokens - runner.cacheFreeTokens(), 0, uncachedTokens);
        return REUSE_PROBABILITY * runner.speed().prefillNs(evicted);
    }

    private static double slotWaitNs(RunnerState runner) {
        int limit = runner.limit().maxInFlight();
        int callsAhead = runner.inFlightCalls() - limit + 1;
        return callsAhead <= 0 ? 0 : callsAhead * runner.speed().callNs() / limit;
    }
}
