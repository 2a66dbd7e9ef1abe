/**
 * Runs the product and its stand-ins as separate processes on this machine, injects faults and
 * collects what the targets recorded.
 *
 * <p>State: the processes of one cluster. Messages in: starts, signals and faults; out: records of
 * the run's history.
 */
package org.skylarkmast.bench.cluster;
