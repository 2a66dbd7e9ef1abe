/**
 * The decision benchmark: runs the scheduler against fake runners on a virtual clock.
 *
 * <p>State: one {@link org.skylarkmast.bench.decision.Simulation} per run. A run is deterministic
 * for its seed, from which the load and the noise on the runners' reports are drawn; the time and
 * the runners of a fault follow from its kind and the profile. All policies are measured with the
 * same load.
 */
package org.skylarkmast.bench.decision;
