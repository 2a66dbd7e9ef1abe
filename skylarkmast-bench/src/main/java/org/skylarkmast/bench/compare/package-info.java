/**
 * Compares the product with a plain round-robin balancer on the same processes, seeds and load.
 *
 * <p>State: one comparison's figures. Messages in: seeds and a profile; out: JSON and an HTML page.
 */
package org.skylarkmast.bench.compare;
