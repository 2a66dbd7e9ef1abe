/**
 * Soak runs: load in both users' shapes under failures drawn two at a time, judged at the end.
 *
 * <p>State: the faults under way. Messages in: a seed and a length; out: the checker's violations.
 */
package org.skylarkmast.bench.soak;
