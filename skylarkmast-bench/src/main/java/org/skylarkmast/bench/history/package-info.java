/**
 * Histories of concurrent runs and the checker that judges the product's invariants from them.
 *
 * <p>State: none beyond one run's records. Messages in: {@link
 * org.skylarkmast.bench.history.HistoryRecord}s of callers, targets and the test harness; out:
 * {@link org.skylarkmast.bench.history.Violation}s.
 */
package org.skylarkmast.bench.history;
