package org.skylarkmast.core.scheduling.retry;

/**
 * Limits retries to a share of first sends, so that an ailing target is not flooded.
 *
 * <p>Not thread-safe: owned by the scheduler's event loop.
 */
public final class RetryBudget {
    private final double retriesPerCall;
    private final double maxBalance;

    private double balance;

    /**
     * Starts with a full balance.
     *
     * @param retriesPerCall retries earned by each first send, between 0 and 1
     * @param maxBalance most retries that can be saved up, at least 1
     */
    public RetryBudget(double retriesPerCall, double maxBalance) {
        this.retriesPerCall = retriesPerCall;
        this.maxBalance = maxBalance;
        balance = maxBalance;
    }

    /** Earns a share of a retry for a first send. */
    public void earn() {
        balance = Math.min(maxBalance, balance + retriesPerCall);
    }

    /** Takes one retry from the balance; false if there is none. */
    public boolean tryTake() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
