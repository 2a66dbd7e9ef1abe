package org.skylarkmast.relay.runner;

/**
 * Learns the speed of a service's engines from streams of this node; thread-safe.
 *
 * <p>The time to the first event grows with the prompt tokens that are not cached; its slope is the
 * prefill speed, and its rest holds the network and the first tokens. The time for each further
 * token, relative to what is usual at its runner, grows with the batch.
 */
final class EngineSpeedEstimator {

    /** Weight of the prior, as of two prompts that differ by 1,000 tokens from the mean. */
    private static final double PRIOR_TOKENS_SQUARED = 2e6;

    /** Weight of the prior, as of twenty samples that differ by two requests from the mean. */
    private static final double PRIOR_REQUESTS_SQUARED = 80;

    /** Bounds of credible speeds; known engines have 64.8 to 227 tokens per ms. */
    private static final double MIN_TOKENS_PER_MS = 10;

    private static final double MAX_TOKENS_PER_MS = 1000;
    private static final double MAX_SLOWDOWN = 0.2;

    /** Samples above this multiple of the expected time count as that: the request had to wait. */
    private static final double MAX_TO_EXPECTED = 4;

    private static final double MIN_EXPECTED_MS = 10;

    /** Least credible time for a unit of work of a request alone, relative to the usual. */
    private static final double MIN_RELATIVE = 0.2;

    private final RidgeSlope firstEventMs =
            new RidgeSlope(1 / EngineSpeed.PRIOR.prefillTokensPerMs(), PRIOR_TOKENS_SQUARED);
    private final RidgeSlope relativeMsPerUnit =
            new RidgeSlope(EngineSpeed.PRIOR.slowdownPerRequest(), PRIOR_REQUESTS_SQUARED);
    private boolean hasSamples;

    /**
     * Records a stream that did not have to wait for a slot.
     *
     * @param conditions what was known when it was sent
     * @param tookMs time from the send to the first event
     */
    synchronized void recordFirstEvent(SendConditions conditions, double tookMs) {
        double slowdown = 1 + speed().slowdownPerRequest() * conditions.otherRequests();
        double tokens = conditions.uncachedTokens() * slowdown;
        double expectedMs = Math.max(MIN_EXPECTED_MS, firstEventMs.at(tokens));
        hasSamples = true;
        firstEventMs.add(tokens, Math.min(tookMs, expectedMs * MAX_TO_EXPECTED));
    }

    /**
     * Records the rest of a stream.
     *
     * @param msPerUnit its time for a unit of work after the first event
     */
    synchronized void recordGeneration(SendConditions conditions, double msPerUnit) {
        if (conditions.usualMsPerUnit() > 0) {
            double relative = Math.min(MAX_TO_EXPECTED, msPerUnit / conditions.usualMsPerUnit());
            relativeMsPerUnit.add(conditions.otherRequests(), relative);
        }
    }

    /** Returns the learned speed; the prior before the first stream. */
    synchronized EngineSpeed speed() {
        if (!hasSamples) {
            return EngineSpeed.PRIOR;
        }
        double relativeAlone = relativeMsPerUnit.at(0);
        double slowdown =
                relativeMsPerUnit.slope() / (relativeAlone < MIN_RELATIVE ? 1 : relativeAlone);
        return new EngineSpeed(
                1 / Math.clamp(firstEventMs.slope(), 1 / MAX_TOKENS_PER_MS, 1 / MIN_TOKENS_PER_MS),
                Math.clamp(slowdown, 0, MAX_SLOWDOWN));
    }
}
