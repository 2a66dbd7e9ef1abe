/**
 * Aggregates load reports about runners: entry nodes report the load, speed and failures that they
 * observed, storage nodes add the reports up in memory, and every entry node receives the totals.
 *
 * <p>State: {@link org.skylarkmast.relay.loadreport.LoadReportAggregator}, which is not persisted;
 * after a restart, new reports replace what was lost within seconds. Messages: lists of {@link
 * org.skylarkmast.relay.loadreport.RunnerLoadReport} in both directions.
 */
package org.skylarkmast.relay.loadreport;
