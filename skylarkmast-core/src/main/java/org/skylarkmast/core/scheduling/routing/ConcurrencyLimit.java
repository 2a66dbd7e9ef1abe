package org.skylarkmast.core.scheduling.routing;

/**
 * Limit on a runner's in-flight calls: lowered by a factor when the runner answers that it is busy,
 * and raised slowly with each success.
 *
 * <p>Not thread-safe: owned by the scheduler's event loop.
 */
public final class ConcurrencyLimit {
    private static final double DECREASE_FACTOR = 0.7;

    private final boolean adaptive;

    private int declaredMax;
    private double limit;

    /** Creates a limit at its declared maximum; it stays there unless it is adaptive. */
    public ConcurrencyLimit(int declaredMax, boolean adaptive) {
        this.declaredMax = declaredMax;
        this.adaptive = adaptive;
        limit = declaredMax;
    }

    /** Maximum number of calls in flight, at least 1. */
    public int maxInFlight() {
        return (int) limit;
    }

    /** Applies a new declared maximum. */
    public void setDeclaredMax(int newDeclaredMax) {
        limit = limit >= declaredMax ? newDeclaredMax : Math.min(limit, newDeclaredMax);
        declaredMax = newDeclaredMax;
    }

    /**
     * Records a busy answer that arrived while an estimated {@code inFlight} calls were in flight.
     */
    public void onBusy(int inFlight) {
        if (adaptive) {
            limit = Math.max(1, Math.min(limit, inFlight) * DECREASE_FACTOR);
        }
    }

    /** Records a successful answer. */
    public void onSuccess() {
        limit = Math.min(declaredMax, limit + 1 / limit);
    }
}
