package org.skylarkmast.core.program;

import org.skylarkmast.core.key.ProgramKey;

/**
 * Details of a completed call, sent to the caller along with its answer.
 *
 * @param model the model that answered and counted the tokens; empty for a service
 * @param turn number of calls that the root program and its sub-agents have made, including this
 *     one
 * @param cachedTokens prompt tokens the engine had cached
 * @param computedTokens prompt tokens the engine computed
 * @param budgetLeftTokens tokens the program may still spend
 * @param copied whether the call's record is only copied to other nodes, because the key-value
 *     service is unavailable
 */
public record TurnSummary(
        ProgramKey program,
        String model,
        int turn,
        int partition,
        long epoch,
        int promptTokens,
        int cachedTokens,
        int computedTokens,
        int outputTokens,
        long budgetLeftTokens,
        boolean copied) {

    /** The same summary, marked as only copied to other nodes so far. */
    TurnSummary asCopied() {
        return new TurnSummary(
                program,
                model,
                turn,
                partition,
                epoch,
                promptTokens,
                cachedTokens,
                computedTokens,
                outputTokens,
                budgetLeftTokens,
                true);
    }
}
