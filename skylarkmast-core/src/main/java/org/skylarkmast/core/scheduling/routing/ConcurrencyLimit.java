package org.skylarkmast.core.scheduling.routing;

/**
 * Calls a runner is given at once: cut when it answers that it is busy, raised slowly while it
 * copes.
 *
 * <p>Not thread-safe: owned by the scheduler's event loop.
 */
public final class ConcurrencyLimit {
    private static final double DECREASE_FACTOR = 0.7;

    private final boolean adaptive;

    private int maxCalls;
    private double limit;

    /** Starts at the declared bound; one that is not adaptive stays there. */
    public ConcurrencyLimit(int maxCalls, boolean adaptive) {
        this.maxCalls = maxCalls;
        this.adaptive = adaptive;
        limit = maxCalls;
    }

    /** Calls that may be under way at once, at least 1. */
    public int calls() {
        return (int) limit;
    }

    /** Takes a new declared bound. */
    public void setMaxCalls(int newMaxCalls) {
        limit = limit >= maxCalls ? newMaxCalls : Math.min(limit, newMaxCalls);
        maxCalls = newMaxCalls;
    }

    /** Notes a busy answer with {@code inFlight} calls believed under way. */
    public void onBusy(int inFlight) {
        if (adaptive) {
            limit = Math.max(1, Math.min(limit, inFlight) * DECREASE_FACTOR);
        }
    }

    /** Notes an answer. */
    public void onSuccess() {
        limit = Math.min(maxCalls, limit + 1 / limit);
    }
}
