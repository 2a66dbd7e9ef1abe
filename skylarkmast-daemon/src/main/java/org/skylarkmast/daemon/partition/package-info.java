/**
 * Executes programs: one state machine per owned partition, on a fixed number of event loops.
 *
 * <p>Holds the owned partitions and the waiting callers. Inputs are requests of callers and the
 * outcomes of appended records and of calls; outputs are events for callers and calls for the
 * scheduler.
 */
package org.skylarkmast.daemon.partition;
