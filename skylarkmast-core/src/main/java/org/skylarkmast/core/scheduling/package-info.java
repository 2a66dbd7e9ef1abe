/**
 * Decisions on calls: what runs next, on which runner, what is refused and what is sent again.
 *
 * <p>State: the queues, what is believed of every runner (speed, load, cached prefixes, health),
 * and the limits. Messages in: {@link org.skylarkmast.core.scheduling.SchedulingEvent}; out: {@link
 * org.skylarkmast.core.scheduling.SchedulingAction}. No I/O; time and randomness are passed in. One
 * instance per node, owned by one event loop.
 */
package org.skylarkmast.core.scheduling;
