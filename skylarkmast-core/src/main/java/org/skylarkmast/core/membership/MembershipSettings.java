package org.skylarkmast.core.membership;

/**
 * Times and bounds of membership decisions.
 *
 * @param probesPerRound peers sent a heartbeat in each round, whatever the number of nodes
 * @param roundMs time between rounds
 * @param missesToSuspect heartbeats in a row without an answer that make a peer suspected
 * @param liveRevisions successive newer host lists that must show a leaving host as live again
 * @param liveAgainMs least time for which they must show it
 * @param liveUnchangedMs time after which an unchanged list that shows it as live is enough
 */
public record MembershipSettings(
        int probesPerRound,
        long roundMs,
        int missesToSuspect,
        int liveRevisions,
        long liveAgainMs,
        long liveUnchangedMs) {

    /** The usual settings, suspecting a peer that is silent for {@code suspectAfterMs}. */
    public static MembershipSettings withRounds(long roundMs, long suspectAfterMs) {
        int misses = (int) Math.max(1, suspectAfterMs / roundMs);
        return new MembershipSettings(3, roundMs, misses, 3, 5_000, 30_000);
    }
}
