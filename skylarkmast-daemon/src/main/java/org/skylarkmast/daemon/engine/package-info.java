/**
 * Speaks to runners beside their calls: reads load and cache reports and has caches released.
 *
 * <p>State: per runner how far its reports were read, and the releases not yet confirmed. Messages
 * in: the configuration's runners, releases asked for; out: {@link
 * org.skylarkmast.core.scheduling.SchedulingEvent}s. Decisions are in {@link
 * org.skylarkmast.core.engine}.
 */
package org.skylarkmast.daemon.engine;
