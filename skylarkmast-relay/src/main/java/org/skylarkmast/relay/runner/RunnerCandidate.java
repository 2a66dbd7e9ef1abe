package org.skylarkmast.relay.runner;

import java.util.List;

/**
 * A runner with the estimates that {@link RunnerChooser} compares.
 *
 * @param load estimated number of requests running and queued there, from all entry nodes;
 *     fractional if it is derived from a mean
 * @param hasFreshLoad whether the runner recently reported its load to this node
 * @param msPerUnit estimated time for a unit of work in ms, or 0 if nothing is known
 * @param cachedTokens estimated number of tokens of the prompt that it has cached
 * @param failureRate estimated fraction of requests that it fails, between 0 and 1
 * @param sendWaitMs expected time in ms until it accepts another request at its rate limit, 0
 *     without a limit
 * @param slowness how slow its machine says to be
 * @param ejected whether it is temporarily ejected after failures; such a runner is used only if
 *     all others are ejected too
 * @param tokensInFlight estimated tokens of the requests that are running and queued there, from
 *     all entry nodes; 0 if this node has not sent requests with known tokens
 */
public record RunnerCandidate(
        Runner runner,
        double load,
        boolean hasFreshLoad,
        double msPerUnit,
        int cachedTokens,
        double failureRate,
        double sendWaitMs,
        Slowness slowness,
        boolean ejected,
        double tokensInFlight) {

    /** Returns what is expected of a request with {@code prompt} that is sent to this runner. */
    SendConditions toConditions(List<PromptPart> prompt) {
        int promptTokens = 0;
        for (PromptPart part : prompt) {
            promptTokens += part.tokens();
        }
        return new SendConditions(
                Math.max(0, promptTokens - cachedTokens),
                Math.min(load, runner.slots()),
                load < runner.slots(),
                msPerUnit);
    }
}
