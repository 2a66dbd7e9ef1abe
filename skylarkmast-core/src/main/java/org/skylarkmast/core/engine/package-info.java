/**
 * Model engines as the scheduler sees them: cache events, load reports, cache release and orders
 * under an epoch.
 *
 * <p>State: per engine the last event seen, orders sent and not yet confirmed. Messages in: events,
 * reports, answers to orders; out: orders to send.
 */
package org.skylarkmast.core.engine;
