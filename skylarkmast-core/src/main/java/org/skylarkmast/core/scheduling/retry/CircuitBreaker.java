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

    /** Whether a call may be sent; a half-open breaker allows one call at a time. */
    public boolean allows(long nowNs) {
        return closed || (nowNs - ejectedUntilNs >= 0 && !probing);
    }

    /** Whether the runner is ejected and gets no calls. */
    public boolean ejected(long nowNs) {
        return !closed && nowNs - ejectedUntilNs < 0;
    }

    /**
     * Whether the breaker is half-open: the ejection is over and calls are allowed as probes only.
     */
    public boolean halfOpen(long nowNs) {
        return !closed && nowNs - ejectedUntilNs >= 0;
    }

    /** Time until a probe is allowed, in nanoseconds; 0 if the breaker is closed or half-open. */
    public long remainingNs(long nowNs) {
        return closed ? 0 : Math.max(0, ejectedUntilNs - nowNs);
    }

    /** Records that a call was sent; if the breaker is not closed, the call is the probe. */
    public void onSent() {
        probing = !closed;
    }

    /** Records a successful answer; closes the breaker. */
    public void onSuccess() {
        consecutiveFailures = 0;
        ejectionNs = 0;
        closed = true;
        probing = false;
    }

    /** Records that a call ended without evidence of the runner's health. */
    public void onInconclusive() {
        probing = false;
    }

    /**
     * Records a failure. Ejects the runner after consecutive failures, and for twice as long after
     * each failed probe, up to a maximum.
     */
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
