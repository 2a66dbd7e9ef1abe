package org.skylarkmast.core.scheduling.retry;

/**
 * Limits retries to a fraction of first attempts, so that a failing target is not overloaded by
 * retries.
 *
 * <p>Not thread-safe: owned by the scheduler's event loop.
 */
public final class RetryBudget {
    private final double retriesPerCall;
    private final double maxBalance;

    private double balance;

    /**
     * Creates a budget with a full balance.
     *
     * @param retriesPerCall retries added by each first attempt, between 0 and 1
     * @param maxBalance maximum balance in retries, at least 1
     */
    public RetryBudget(double retriesPerCall, double maxBalance) {
        this.retriesPerCall = retriesPerCall;
        this.maxBalance = maxBalance;
        balance = maxBalance;
    }

    /** Adds the share of a retry that a first attempt earns. */
    public void deposit() {
        balance = Math.min(maxBalance, balance + retriesPerCall);
    }

    /** Takes one retry from the balance; returns false if the balance is less than one. */
    public boolean tryWithdraw() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
