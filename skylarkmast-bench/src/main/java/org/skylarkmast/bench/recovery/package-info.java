/**
 * Measures recovery: the time from the kill of a program's owner to its next accepted turn, and to
 * all partitions owned.
 *
 * <p>State: the figures of one measurement. Input: a number of runs. Output: a line per run and
 * JSON.
 */
package org.skylarkmast.bench.recovery;
