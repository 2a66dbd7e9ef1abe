/**
 * What the fleet learned about runners: entry nodes report what they saw, storage nodes add it up
 * in memory, and every entry node gets the sum.
 *
 * <p>State: {@link org.skylarkmast.relay.loadreport.LoadReportAggregator}, lost with its process
 * and learned again within seconds. Messages: {@link
 * org.skylarkmast.relay.loadreport.RunnerLoadReport} both ways.
 */
package org.skylarkmast.relay.loadreport;
