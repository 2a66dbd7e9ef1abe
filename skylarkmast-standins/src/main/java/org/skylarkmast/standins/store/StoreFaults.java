package org.skylarkmast.standins.store;

/**
 * Faults of the key-value service; a field not given is none.
 *
 * @param down every call fails with UNAVAILABLE and watches are broken
 * @param delayMs pause before each call is worked on
 * @param loseAnswers next writes that take effect and whose answers are lost
 * @param dropWatches breaks all watches once
 * @param skipEvents with {@code dropWatches}: watches are refused until so many further changes
 *     were made and compacted, so that they come back too late
 * @param expireLeases ends all leases once
 * @param writesPerSecond limit on transactions and lease calls, or 0 for none
 * @param readsPerSecond limit on ranges and opened watches, or 0 for none
 */
public record StoreFaults(
        boolean down,
        long delayMs,
        int loseAnswers,
        boolean dropWatches,
        int skipEvents,
        boolean expireLeases,
        int writesPerSecond,
        int readsPerSecond) {

    /** No fault. */
    public static final StoreFaults NONE = new StoreFaults(false, 0, 0, false, 0, false, 0, 0);
}
