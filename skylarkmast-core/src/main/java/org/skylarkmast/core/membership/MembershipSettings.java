package org.skylarkmast.core.membership;

/**
 * Durations and limits of {@link MembershipStateMachine}.
 *
 * @param probesPerRound random peers that are sent a heartbeat in each round, independent of the
 *     number of nodes
 * @param roundMs time between rounds
 * @param missesToSuspect consecutive missed heartbeats after which a peer is suspected
 * @param minLiveRevisions consecutive newer host lists that must show a leaving host as live before
 *     it counts as live
 * @param minLiveMs minimum time over which these lists must show the host as live
 * @param unchangedLiveMs time after which an unchanged list that shows the host as live suffices
 */
public record MembershipSettings(
        int probesPerRound,
        long roundMs,
        int missesToSuspect,
        int minLiveRevisions,
        long minLiveMs,
        long unchangedLiveMs) {

    /**
     * Returns default settings with which a peer is suspected after {@code suspectAfterMs} without
     * an answer.
     */
    public static MembershipSettings withRounds(long roundMs, long suspectAfterMs) {
        int misses = (int) Math.max(1, suspectAfterMs / roundMs);
        return new MembershipSettings(3, roundMs, misses, 3, 5_000, 30_000);
    }
}
