/**
 * Control traffic with runners besides calls: reads load and cache reports, has caches released,
 * and orders engines to load models.
 *
 * <p>State: the read position in the reports of each runner, and the releases not yet confirmed.
 * Messages in: the configured runners, requested releases; out: {@link
 * org.skylarkmast.core.scheduling.SchedulingEvent}s. Decisions are in {@link
 * org.skylarkmast.core.engine}.
 */
package org.skylarkmast.daemon.engine;
