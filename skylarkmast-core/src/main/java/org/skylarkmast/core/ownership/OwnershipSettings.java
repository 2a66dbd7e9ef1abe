package org.skylarkmast.core.ownership;

/**
 * Times and bounds of ownership decisions.
 *
 * @param shortGraceMs time before partitions of a single vanished session are claimed
 * @param massGraceMs the same when most sessions vanished at once, so that former owners come first
 * @param fallbackMs further time that each node ranked below the desired owner waits
 * @param stableMs time without a change of sessions before partitions are moved
 * @param claimRetryMs time before a claim that failed is tried again
 * @param handOversAtOnce partitions being handed over at a time
 * @param drainingHandOversAtOnce the same for a draining node
 */
public record OwnershipSettings(
        long shortGraceMs,
        long massGraceMs,
        long fallbackMs,
        long stableMs,
        long claimRetryMs,
        int handOversAtOnce,
        int drainingHandOversAtOnce) {

    /** Settings for a claim grace of {@code claimGraceMs} after an outage. */
    public static OwnershipSettings withClaimGrace(long claimGraceMs) {
        return new OwnershipSettings(
                Math.min(200, claimGraceMs), claimGraceMs, 1_000, 3_000, 500, 4, 32);
    }
}
