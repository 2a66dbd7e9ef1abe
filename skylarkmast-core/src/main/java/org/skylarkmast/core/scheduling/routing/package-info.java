/**
 * The choice of a runner: what is known of each runner's load, speed and health, and the cost of
 * sending a call there.
 *
 * <p>State: {@link org.skylarkmast.core.scheduling.routing.RunnerState}, one per runner. No
 * messages of its own; the scheduler calls it from its event loop.
 */
package org.skylarkmast.core.scheduling.routing;
