package org.skylarkmast.bench.load;

/**
 * The result of one program.
 *
 * @param latencyMs from its first request to its last answer, less its tool pauses
 * @param calls requests that succeeded
 * @param failed requests that did not succeed; the program stops after the first one
 * @param cachedTokens prompt tokens of its calls that were served from the cache
 * @param computedTokens prompt tokens of its calls that were computed
 * @param neededTokens prompt tokens that have to be computed once even with a perfect cache
 */
public record ProgramResult(
        ProgramScript script,
        long latencyMs,
        int calls,
        int failed,
        long cachedTokens,
        long computedTokens,
        long neededTokens) {

    /** Whether all of its requests succeeded. */
    public boolean succeeded() {
        return failed == 0;
    }

    /** Prompt tokens that were computed although they had been computed before. */
    public long wastedTokens() {
        return Math.max(0, computedTokens - neededTokens);
    }
}
