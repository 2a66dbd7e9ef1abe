/**
 * Runs the product and its stand-ins as separate processes on this machine, injects faults and
 * collects the calls that the targets recorded.
 *
 * <p>State: the processes of one cluster. Input: starts, signals and faults. Output: records of the
 * run's history.
 */
package org.skylarkmast.bench.cluster;
