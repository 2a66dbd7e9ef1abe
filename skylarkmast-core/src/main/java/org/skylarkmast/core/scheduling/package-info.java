/**
 * Scheduling of calls: which call runs next, on which runner, and which calls are refused or
 * retried.
 *
 * <p>State: the queues, the limits, and estimates for every runner (speed, load, cached prefixes,
 * health). Input: {@link org.skylarkmast.core.scheduling.SchedulingEvent}; output: {@link
 * org.skylarkmast.core.scheduling.SchedulingAction}. No I/O; time and randomness are passed in. One
 * instance per node, owned by one event loop.
 */
package org.skylarkmast.core.scheduling;
