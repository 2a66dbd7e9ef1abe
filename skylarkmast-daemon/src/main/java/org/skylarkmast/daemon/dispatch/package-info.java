/**
 * Sends calls to runners and tells what became of them.
 *
 * <p>State: the scheduler's loop and the attempts under way. Messages in: calls to queue and send;
 * out: tokens, answers and failures, to the partition and to the scheduler.
 */
package org.skylarkmast.daemon.dispatch;
