/**
 * Membership on the network: reading the host list and exchanging heartbeats.
 *
 * <p>State: {@link org.skylarkmast.daemon.membership.MembershipService} the decisions. Messages in:
 * host lists, heartbeats and sessions; out: heartbeats, and calls of {@link
 * org.skylarkmast.daemon.membership.MembershipListener}.
 */
package org.skylarkmast.daemon.membership;
