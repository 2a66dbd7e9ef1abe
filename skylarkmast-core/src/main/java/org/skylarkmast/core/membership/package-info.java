/**
 * Which hosts are live, suspected or leaving, from the host list and heartbeats between peers.
 *
 * <p>State: the last host list with its age, and the last heartbeat of every peer. Messages in:
 * host lists and heartbeats; out: {@link org.skylarkmast.core.membership.MemberView}. Suspicion
 * only stops new forwards; it never moves ownership.
 */
package org.skylarkmast.core.membership;
