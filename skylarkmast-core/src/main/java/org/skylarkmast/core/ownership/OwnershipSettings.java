package org.skylarkmast.core.ownership;

/**
 * Durations and limits of {@link OwnershipStateMachine}.
 *
 * @param shortGraceMs time from the loss of a session until its partitions are claimed
 * @param massLossGraceMs the same if two or more and at least half of all sessions were lost at
 *     once; longer, so that the previous owners can reclaim their partitions first
 * @param rankDelayMs additional time that a node waits for each rank that it is below the desired
 *     owner
 * @param stabilizationMs time without a change of sessions before partitions are moved to other
 *     nodes
 * @param claimRetryMs time before a claim or hand-over is retried
 * @param maxConcurrentHandOvers maximum number of partitions being handed over at the same time
 * @param maxConcurrentHandOversDraining the same for a draining node
 */
public record OwnershipSettings(
        long shortGraceMs,
        long massLossGraceMs,
        long rankDelayMs,
        long stabilizationMs,
        long claimRetryMs,
        int maxConcurrentHandOvers,
        int maxConcurrentHandOversDraining) {

    /**
     * Returns default settings with a grace period of {@code claimGraceMs} after the loss of most
     * sessions.
     */
    public static OwnershipSettings withClaimGrace(long claimGraceMs) {
        return new OwnershipSettings(
                Math.min(200, claimGraceMs), claimGraceMs, 1_000, 3_000, 500, 4, 32);
    }
}
