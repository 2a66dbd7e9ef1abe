/**
 * Runs the decisions about programs: one state machine per owned partition, on a few event loops.
 *
 * <p>State: the owned partitions and the callers that wait. Messages in: callers' requests,
 * outcomes of appended records and of calls; out: events for callers, calls for the scheduler.
 */
package org.skylarkmast.daemon.partition;
