package org.skylarkmast.bench.caller;

import org.skylarkmast.bench.history.HistoryRecord.Execution;

/** What a caller got from one attempt. */
public sealed interface CallerOutcome {

    /**
     * A whole answer.
     *
     * @param text the model's answer or the service's body
     * @param owner node that owned the program; empty if not told
     * @param turn turn that the call became; 0 if not told
     * @param budgetLeftTokens -1 if not told
     * @param cachedTokens prompt tokens that were cached
     * @param computedTokens prompt tokens that were computed
     * @param firstTokenMs time to the first piece of the answer; -1 if it was not streamed
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
     * @param retryAfterMs when to come back; -1 if not told
     */
    record Refused(int status, Execution execution, long retryAfterMs, String detail)
            implements CallerOutcome {}

    /**
     * No whole answer.
     *
     * @param connected whether the request left
     */
    record Cut(boolean connected, String reason) implements CallerOutcome {}
}
