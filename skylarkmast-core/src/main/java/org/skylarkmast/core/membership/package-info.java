/**
 * Tracks which nodes are live, suspected or leaving, based on heartbeats between peers, and which
 * hosts are leaving, based on the host list.
 *
 * <p>State: the live sessions, the missed heartbeats of every peer, and the hosts that are leaving.
 * Input: sessions, host lists and heartbeats. Output: {@link
 * org.skylarkmast.core.membership.MemberView}. A suspected node only receives no new forwarded
 * requests; suspicion never changes ownership.
 */
package org.skylarkmast.core.membership;
