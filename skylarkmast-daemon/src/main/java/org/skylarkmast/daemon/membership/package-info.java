/**
 * Network side of membership: polls the host list and exchanges heartbeats.
 *
 * <p>State: the membership state machine, owned by {@link
 * org.skylarkmast.daemon.membership.MembershipService}. Messages in: host lists, heartbeats and
 * sessions; out: heartbeats, and calls of {@link
 * org.skylarkmast.daemon.membership.MembershipListener}.
 */
package org.skylarkmast.daemon.membership;
