/**
 * Limits on retries: a retry budget per destination and a circuit breaker per runner.
 *
 * <p>State: {@link org.skylarkmast.core.scheduling.retry.RetryBudget}, one per destination, and
 * {@link org.skylarkmast.core.scheduling.retry.CircuitBreaker}, one per runner. No messages of its
 * own; the scheduler calls it from its event loop.
 */
package org.skylarkmast.core.scheduling.retry;
