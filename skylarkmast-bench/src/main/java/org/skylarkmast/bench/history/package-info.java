/**
 * Histories of concurrent runs and the checker that tests the product's invariants on them.
 *
 * <p>State: the records of one run. Input: {@link org.skylarkmast.bench.history.HistoryRecord}s of
 * callers, targets and the test harness. Output: {@link org.skylarkmast.bench.history.Violation}s.
 */
package org.skylarkmast.bench.history;
