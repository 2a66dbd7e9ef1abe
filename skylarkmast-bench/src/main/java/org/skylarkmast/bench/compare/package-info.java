/**
 * Compares the product with a plain round-robin balancer on the same processes, seeds and load.
 *
 * <p>State: the results of one comparison. Input: seeds and a profile. Output: JSON and an HTML
 * page.
 */
package org.skylarkmast.bench.compare;
