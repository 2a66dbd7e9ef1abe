package org.skylarkmast.core.scheduling.routing;

import org.skylarkmast.core.scheduling.retry.CircuitBreaker;

/**
 * Scheduling state of one runner: its limits, health, speed and load.
 *
 * <p>The load is the sum of this node's calls, the calls reported by peers, and the calls in the
 * runner's load report that exceed both. Not thread-safe: owned by the scheduler's event loop.
 */
public final class RunnerState {
    private static final double SLOW_FACTOR = 3;

    private final String name;
    private final RunnerSpeed speed;
    private final ConcurrencyLimit limit;
    private final CircuitBreaker breaker = new CircuitBreaker();

    private boolean leaving;
    private long pausedUntilNs = Long.MIN_VALUE;
    private double overdueFactor = 1;

    private int ownCalls;
    private double ownPrefillTokens;
    private double ownDecodeTokens;
    private int peerCalls;
    private double peerPrefillTokens;
    private int reportedWaiting;
    private int unattributedCalls;
    private double cacheFreeTokens = Double.POSITIVE_INFINITY;

    /** Creates the state of a healthy, idle runner. */
    public RunnerState(String name, RunnerSpeed speed, ConcurrencyLimit limit) {
        this.name = name;
        this.speed = speed;
        this.limit = limit;
    }

    public String name() {
        return name;
    }

    public RunnerSpeed speed() {
        return speed;
    }

    public ConcurrencyLimit limit() {
        return limit;
    }

    public CircuitBreaker breaker() {
        return breaker;
    }

    public boolean leaving() {
        return leaving;
    }

    public void setLeaving(boolean leaving) {
        this.leaving = leaving;
    }

    /** Sends the runner no calls until {@code untilNs}. */
    public void pauseUntil(long untilNs) {
        pausedUntilNs = Math.max(pausedUntilNs, untilNs);
    }

    /** Whether the runner accepts new calls, regardless of its concurrency limit. */
    public boolean accepts(long nowNs) {
        return !leaving && nowNs >= pausedUntilNs && breaker.allows(nowNs);
    }

    /** Whether another call stays within the concurrency limit. */
    public boolean hasFreeSlot() {
        return inFlightCalls() < limit.maxInFlight();
    }

    /**
     * Time until the runner may accept calls again, in nanoseconds; 0 if it may now or the time is
     * unknown.
     */
    public long unavailableNs(long nowNs) {
        long pausedNs = pausedUntilNs == Long.MIN_VALUE ? 0 : Math.max(0, pausedUntilNs - nowNs);
        return Math.max(pausedNs, breaker.remainingNs(nowNs));
    }

    /**
     * Greatest ratio of elapsed to predicted time to the first output among this node's overdue
     * calls; 1 if none is overdue.
     */
    public double overdueFactor() {
        return overdueFactor;
    }

    public void setOverdueFactor(double factor) {
        overdueFactor = factor;
    }

    public boolean slow() {
        return overdueFactor >= SLOW_FACTOR;
    }

    /** Adds one of this node's calls to the load. */
    public void addOwnCall(double prefillTokens, double decodeTokens) {
        ownCalls++;
        ownPrefillTokens += prefillTokens;
        ownDecodeTokens += decodeTokens;
    }

    /** Removes a prompt from the load once its prefill has ended. */
    public void endPrefill(double prefillTokens) {
        ownPrefillTokens = Math.max(0, ownPrefillTokens - prefillTokens);
    }

    /** Removes one of this node's calls from the load; its prefill has been removed before. */
    public void removeOwnCall(double decodeTokens) {
        ownCalls--;
        ownDecodeTokens = Math.max(0, ownDecodeTokens - decodeTokens);
    }

    /** Adds load reported by a peer; negative values remove it. */
    public void addPeerLoad(int calls, double prefillTokens) {
        peerCalls += calls;
        peerPrefillTokens = Math.max(0, peerPrefillTokens + prefillTokens);
    }

    /**
     * Applies a load report; calls that neither this node nor its peers account for are counted
     * only if {@code countUnattributed} is set.
     */
    public void onLoadReported(
            int running, int waiting, long freeTokens, boolean countUnattributed) {
        reportedWaiting = waiting;
        cacheFreeTokens = freeTokens;
        int unattributed = running + waiting - ownCalls - peerCalls;
        unattributedCalls =
                countUnattributed ? Math.clamp(unattributed, 0, limit.maxInFlight() / 2) : 0;
    }

    public int ownCalls() {
        return ownCalls;
    }

    public double ownPrefillTokens() {
        return ownPrefillTokens;
    }

    public double ownDecodeTokens() {
        return ownDecodeTokens;
    }

    public int reportedWaiting() {
        return reportedWaiting;
    }

    /** Free capacity of the prefix cache in tokens, as last reported. */
    public double cacheFreeTokens() {
        return cacheFreeTokens;
    }

    /** Estimated number of calls in flight from all nodes. */
    public int inFlightCalls() {
        return ownCalls + peerCalls + unattributedCalls;
    }

    /** Estimated number of prompt tokens that will be prefilled before those of a new call. */
    public double outstandingPrefillTokens() {
        return ownPrefillTokens + peerPrefillTokens;
    }
}
