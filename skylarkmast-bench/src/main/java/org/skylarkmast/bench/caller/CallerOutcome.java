package org.skylarkmast.bench.caller;

import org.skylarkmast.bench.history.HistoryRecord.Execution;

/** The outcome of one attempt at a request. */
public sealed interface CallerOutcome {

    /**
     * A complete answer.
     *
     * @param text the model's answer or the service's body
     * @param owner node that owned the program; empty if not reported
     * @param turn number of the turn that the call became; 0 if not reported
     * @param budgetLeftTokens -1 if not reported
     * @param cachedTokens prompt tokens that the engine had cached
     * @param computedTokens prompt tokens that the engine computed
     * @param firstTokenMs time to the first content of the answer; -1 if it was not streamed
     */
    record Succeeded(
            String text,
            String owner,
            int turn,
            long budgetLeftTokens,
            long cachedTokens,
            long computedTokens,
            long firstTokenMs)
            implements CallerOutcome {}

    /**
     * An error answer.
     *
     * @param retryAfterMs delay before a retry; -1 if not reported
     */
    record Refused(int status, Execution execution, long retryAfterMs, String detail)
            implements CallerOutcome {}

    /**
     * The connection failed or ended before a complete answer was received.
     *
     * @param connected whether the request was sent
     */
    record Disconnected(boolean connected, String reason) implements CallerOutcome {}
}
