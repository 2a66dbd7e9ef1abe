/**
 * Sends calls to runners and reports their outcomes.
 *
 * <p>State: the scheduler's loop and the attempts in flight. Messages in: calls to queue and send;
 * out: tokens, answers and failures, to the partition and to the scheduler.
 */
package org.skylarkmast.daemon.dispatch;
