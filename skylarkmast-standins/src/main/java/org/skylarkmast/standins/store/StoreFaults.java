package org.skylarkmast.standins.store;

/**
 * Injected faults of the key-value service; a missing field means no fault.
 *
 * @param down whether every call fails with UNAVAILABLE; setting it also breaks all watches
 * @param delayMs delay before each call is processed, in ms
 * @param loseAnswers number of writes from now on that take effect but whose answers are dropped
 * @param dropWatches whether to break all watches once
 * @param skipEvents with {@code dropWatches}: number of further changes during which new watches
 *     are rejected; the changes are then compacted, so that a client cannot resume from before them
 * @param expireLeases whether to end all leases once
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

    /** No faults. */
    public static final StoreFaults NONE = new StoreFaults(false, 0, 0, false, 0, false, 0, 0);
}
