package org.skylarkmast.core.scheduling.retry;

/**
 * Ejects a runner after consecutive failures and lets single calls probe it afterwards.
 *
 * <p>Not thread-safe: owned by the scheduler's event loop.
 */
public final class CircuitBreaker {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_NS = 1_000_000_000L;
    private static final long MAX_EJECTION_NS = 30_000_000_000L;

    private int consecutiveFailures;
    private long ejectionNs;
    private long ejectedUntilNs;
    private boolean closed = true;
    private boolean probing;

    /** Whether calls may be sent; half-open allows one call at a time. */
    public boolean allows(long nowNs) {
        return closed || (nowNs - ejectedUntilNs >= 0 && !probing);
    }

    /** Whether nothing may be sent yet. */
    public boolean ejected(long nowNs) {
        return !closed && nowNs - ejectedUntilNs < 0;
    }

    /** Whether a call is allowed as a probe. */
    public boolean halfOpen(long nowNs) {
        return !closed && nowNs - ejectedUntilNs >= 0;
    }

    /** Time until a probe is allowed, in nanoseconds; 0 when closed or half-open. */
    public long remainingNs(long nowNs) {
        return closed ? 0 : Math.max(0, ejectedUntilNs - nowNs);
    }

    /** Notes a send; while half-open it is the probe. */
    public void onSent() {
        probing = !closed;
    }

    /** Notes an answer; closes the breaker. */
    public void onSuccess() {
        consecutiveFailures = 0;
        ejectionNs = 0;
        closed = true;
        probing = false;
    }

    /** Notes that a call ended without telling anything of the runner's health. */
    public void onInconclusive() {
        probing = false;
    }

    /** Notes a failure; ejects the runner, each time for twice as long, when they go on. */
    public void onFailure(long nowNs) {
        consecutiveFailures++;
        if (closed && consecutiveFailures < FAILURES_TO_EJECT) {
            return;
        }
        if (closed || probing) {
            ejectionNs =
                    ejectionNs == 0 ? FIRST_EJECTION_NS : Math.min(2 * ejectionNs, MAX_EJECTION_NS);
            ejectedUntilNs = nowNs + ejectionNs;
        }
        closed = false;
        probing = false;
    }
}
