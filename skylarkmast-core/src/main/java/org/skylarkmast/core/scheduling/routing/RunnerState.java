package org.skylarkmast.core.scheduling.routing;

import org.skylarkmast.core.scheduling.retry.CircuitBreaker;

/**
 * What is known of one runner: its bounds, health, speed and load.
 *
 * <p>Load is counted from this node's calls, those that peers told of, and what the runner reported
 * beyond both. Not thread-safe: owned by the scheduler's event loop.
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
    private int unexplainedCalls;
    private double cacheFreeTokens = Double.POSITIVE_INFINITY;

    /** Starts healthy and idle. */
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

    /** Gives the runner nothing until {@code untilNs}. */
    public void pauseUntil(long untilNs) {
        pausedUntilNs = Math.max(pausedUntilNs, untilNs);
    }

    /** Whether it takes new calls, be it full or not. */
    public boolean accepts(long nowNs) {
        return !leaving && nowNs >= pausedUntilNs && breaker.allows(nowNs);
    }

    /** Whether another call stays within its concurrency limit. */
    public boolean hasRoom() {
        return calls() < limit.calls();
    }

    /** Time until it may take calls again, in nanoseconds; 0 if that is not known or now. */
    public long unavailableNs(long nowNs) {
        long pausedNs = pausedUntilNs == Long.MIN_VALUE ? 0 : Math.max(0, pausedUntilNs - nowNs);
        return Math.max(pausedNs, breaker.remainingNs(nowNs));
    }

    /** How many times longer than predicted its oldest answer is in coming, at least 1. */
    public double overdueFactor() {
        return overdueFactor;
    }

    public void setOverdueFactor(double factor) {
        overdueFactor = factor;
    }

    public boolean slow() {
        return overdueFactor >= SLOW_FACTOR;
    }

    /** Notes one of this node's calls as under way. */
    public void addOwn(double prefillTokens, double decodeTokens) {
        ownCalls++;
        ownPrefillTokens += prefillTokens;
        ownDecodeTokens += decodeTokens;
    }

    /** Notes that a call's prompt was worked off. */
    public void endPrefill(double prefillTokens) {
        ownPrefillTokens = Math.max(0, ownPrefillTokens - prefillTokens);
    }

    /** Notes that one of this node's calls is over; its prefill was ended before. */
    public void removeOwn(double decodeTokens) {
        ownCalls--;
        ownDecodeTokens = Math.max(0, ownDecodeTokens - decodeTokens);
    }

    /** Adds what a peer told; negative to take it back. */
    public void addPeer(int calls, double prefillTokens) {
        peerCalls += calls;
        peerPrefillTokens = Math.max(0, peerPrefillTokens + prefillTokens);
    }

    /** Takes a load report; {@code trusted} tells whether calls not known of are counted. */
    public void report(int running, int waiting, long freeTokens, boolean trusted) {
        reportedWaiting = waiting;
        cacheFreeTokens = freeTokens;
        int unexplained = running + waiting - ownCalls - peerCalls;
        unexplainedCalls = trusted ? Math.clamp(unexplained, 0, limit.calls() / 2) : 0;
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

    /** Free room of the prefix cache, in tokens, as last reported. */
    public double cacheFreeTokens() {
        return cacheFreeTokens;
    }

    /** Calls believed under way. */
    public int calls() {
        return ownCalls + peerCalls + unexplainedCalls;
    }

    /** Prompt tokens believed to be still ahead of a new call. */
    public double outstandingPrefillTokens() {
        return ownPrefillTokens + peerPrefillTokens;
    }
}
