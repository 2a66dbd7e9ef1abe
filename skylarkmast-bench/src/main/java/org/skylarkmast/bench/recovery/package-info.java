/**
 * Measures recovery: the time from the kill of a program's owner to its next accepted turn, and to
 * all partitions owned.
 *
 * <p>State: none beyond one run's figures. Messages in: a number of runs; out: a table and JSON.
 */
package org.skylarkmast.bench.recovery;
