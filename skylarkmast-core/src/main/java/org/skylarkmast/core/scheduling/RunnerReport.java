package org.skylarkmast.core.scheduling;

/**
 * A runner's report of its own load; it can be out of date by up to the runner's reporting
 * interval.
 *
 * @param running calls being processed
 * @param waiting calls queued inside the runner
 * @param cacheUsedTokens tokens in the prefix cache
 * @param cacheCapacityTokens capacity of the prefix cache
 * @param reportedAtNs monotonic time at which the report was read
 */
public record RunnerReport(
        String runner,
        int running,
        int waiting,
        long cacheUsedTokens,
        long cacheCapacityTokens,
        long reportedAtNs) {}
