package org.skylarkmast.core.program;

import org.skylarkmast.core.key.ProgramKey;

/**
 * What is told of a finished call beside its answer.
 *
 * @param model the model that answered and counted the tokens; empty for a service
 * @param turn calls the root program has made with its sub-agents, this one included
 * @param cachedTokens prompt tokens the engine had cached
 * @param computedTokens prompt tokens the engine computed
 * @param budgetLeftTokens tokens the program may still spend
 * @param copied whether the call is kept by copies only, the key-value service being down
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

    /** The same summary for a call that only copies keep so far. */
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
