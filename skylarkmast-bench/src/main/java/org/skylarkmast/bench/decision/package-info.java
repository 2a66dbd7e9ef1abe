/**
 * The decision bench: the scheduler's decisions against fake runners on a virtual clock.
 *
 * <p>State: one {@link org.skylarkmast.bench.decision.Simulation} per run. A run is exact on its
 * seed: the load, the faults and the runners' noise are drawn from it, and all policies meet the
 * same load.
 */
package org.skylarkmast.bench.decision;
