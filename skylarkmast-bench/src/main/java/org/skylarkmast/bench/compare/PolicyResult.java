package org.skylarkmast.bench.compare;

import java.util.List;
import org.skylarkmast.bench.load.ProgramResult;

/**
 * The results of one policy with one seed.
 *
 * @param whole number of programs of which every request succeeded
 * @param latencyP50Ms median latency of these programs, without their tool pauses
 * @param wastedShare share of computed prompt tokens that had been computed before, 0 to 1
 */
record PolicyResult(
        String policy,
        long seed,
        int programs,
        int whole,
        long latencyP50Ms,
        long latencyP95Ms,
        long computedTokens,
        double wastedShare,
        double programsPerSecond) {

    static PolicyResult of(String policy, long seed, List<ProgramResult> results, long elapsedMs) {
        List<Long> latencies =
                results.stream()
                        .filter(ProgramResult::succeeded)
                        .map(ProgramResult::latencyMs)
                        .sorted()
                        .toList();
        long computedTokens = results.stream().mapToLong(ProgramResult::computedTokens).sum();
        long wastedTokens = results.stream().mapToLong(ProgramResult::wastedTokens).sum();
        return new PolicyResult(
                policy,
                seed,
                results.size(),
                latencies.size(),
                quantile(latencies, 0.5),
                quantile(latencies, 0.95),
                computedTokens,
                computedTokens == 0 ? 0 : (double) wastedTokens / computedTokens,
                latencies.size() * 1_000.0 / Math.max(1, elapsedMs));
    }

    /**
     * Returns the smallest value that at least the fraction {@code q} of all values do not exceed.
     */
    private static long quantile(List<Long> sorted, double q) {
        if (sorted.isEmpty()) {
            return 0;
        }
        int index = (int) Math.ceil(q * sorted.size()) - 1;
        return sorted.get(Math.max(0, index));
    }
}
