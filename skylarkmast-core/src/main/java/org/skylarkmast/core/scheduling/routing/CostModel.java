package org.skylarkmast.core.scheduling.routing;

/**
 * The cost of sending a call to a runner, as time in nanoseconds.
 *
 * @param priceEviction whether displacing other programs' prefixes costs
 */
public record CostModel(boolean priceEviction) {
    private static final double RETURN_PROBABILITY = 0.5;

    /**
     * What a call needs.
     *
     * @param promptTokens whole prompt; 0 for a plain service
     * @param expectedOutputTokens likely answer; 0 for a plain service
     * @param cacheWeight price of a wasted prefill token relative to its time of latency
     * @param meanPrefillTokenNs time of a prefill token on a middling runner of the destination
     */
    public record Demand(
            double promptTokens,
            double expectedOutputTokens,
            double cacheWeight,
            double meanPrefillTokenNs) {}

    /** Time until the first answer token, in nanoseconds, if the call were sent now. */
    public double firstOutputNs(RunnerState runner, double uncachedTokens) {
        RunnerSpeed speed = runner.speed();
        double tokens = runner.outstandingPrefillTokens() + uncachedTokens;
        return slotWaitNs(runner) + speed.prefillNs(tokens) + speed.interTokenNs(runner.calls());
    }

    /** The whole cost of a model call. */
    public double modelCost(RunnerState runner, Demand demand, double cachedTokens) {
        double uncachedTokens = Math.max(0, demand.promptTokens() - cachedTokens);
        double latencyNs =
                firstOutputNs(runner, uncachedTokens)
                        + demand.expectedOutputTokens()
                                * runner.speed().interTokenNs(runner.calls());
        double wasteNs = demand.cacheWeight() * uncachedTokens * demand.meanPrefillTokenNs();
        return latencyNs * runner.overdueFactor() + wasteNs + evictionNs(runner, uncachedTokens);
    }

    /** The whole cost of a plain service's call. */
    public double serviceCost(RunnerState runner) {
        double loadFactor = 1 + (double) runner.calls() / runner.limit().calls();
        double latencyNs = slotWaitNs(runner) + runner.speed().callNs() * loadFactor;
        return latencyNs * runner.overdueFactor();
    }

    private double evictionNs(RunnerState runner, double uncachedTokens) {
        if (!priceEviction) {
            return 0;
        }
        double evicted = Math.clamp(uncachedTokens - runner.cacheFreeTokens(), 0, uncachedTokens);
        return RETURN_PROBABILITY * runner.speed().prefillNs(evicted);
    }

    private static double slotWaitNs(RunnerState runner) {
        int limit = runner.limit().calls();
        int callsAhead = runner.calls() - limit + 1;
        return callsAhead <= 0 ? 0 : callsAhead * runner.speed().callNs() / limit;
    }
}
