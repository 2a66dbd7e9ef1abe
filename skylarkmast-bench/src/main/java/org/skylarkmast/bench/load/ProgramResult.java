package org.skylarkmast.bench.load;

/**
 * What became of one program.
 *
 * @param latencyMs from its first request to its last answer, less its tool pauses
 * @param calls requests that succeeded
 * @param failed requests that did not succeed; the program stops at the first
 * @param cachedTokens prompt tokens of its calls that were cached
 * @param computedTokens prompt tokens of its calls that were computed
 */
public record ProgramResult(
        ProgramScript script,
        long latencyMs,
        int calls,
        int failed,
        long cachedTokens,
        long computedTokens) {

    /** Whether all of its requests succeeded. */
    public boolean whole() {
        return failed == 0;
    }
}
