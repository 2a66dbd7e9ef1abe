package org.skylarkmast.core.scheduling;

/**
 * What a runner says of its own load; it is as old as the runner's reporting interval.
 *
 * @param running calls being worked on
 * @param waiting calls queued inside the runner
 * @param cacheUsedTokens tokens in the prefix cache
 * @param cacheCapacityTokens room of the prefix cache
 * @param reportedAtNs monotonic time at which the report was read
 */
public record RunnerReport(
        String runner,
        int running,
        int waiting,
        long cacheUsedTokens,
        long cacheCapacityTokens,
        long reportedAtNs) {}
