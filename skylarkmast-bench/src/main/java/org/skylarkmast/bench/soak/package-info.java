/**
 * Soak runs: the load of both users under random faults, two at a time; the history is checked at
 * the end.
 *
 * <p>State: the active faults. Input: a seed and a duration. Output: the checker's violations.
 */
package org.skylarkmast.bench.soak;
