/**
 * Runner selection: each runner's load, speed and health, and the cost of sending a call to it.
 *
 * <p>State: {@link org.skylarkmast.core.scheduling.routing.RunnerState}, one per runner. No
 * messages of its own; the scheduler calls it from its event loop.
 */
package org.skylarkmast.core.scheduling.routing;
