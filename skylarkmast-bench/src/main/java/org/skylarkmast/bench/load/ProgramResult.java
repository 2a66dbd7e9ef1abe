package org.skylarkmast.bench.load;

/**
 * What became of one program.
 *
 * @param latencyMs from its first request to its last answer, less its tool pauses
 * @param calls requests that succeeded
 * @param failed requests that did not succeed; the program stops at the first
 * @param cachedTokens prompt tokens of its calls that were cached
 * @param computedTokens prompt tokens of its calls that were computed
 * @param neededTokens prompt tokens that had to be computed once, whatever the cache
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
    public boolean whole() {
        return failed == 0;
    }

    /** Prompt tokens that were computed although they had been computed before. */
    public long wastedTokens() {
        return Math.max(0, computedTokens - neededTokens);
    }
}
