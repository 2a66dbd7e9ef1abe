/**
 * Ownership on the key-value service: this node's session, claims, hand-overs and the directory.
 *
 * <p>State: {@link org.skylarkmast.daemon.ownership.NodeSession} the lease, {@link
 * org.skylarkmast.daemon.ownership.OwnershipService} the decisions and the published directory.
 * Messages in: answers and watch events of the key-value service; out: transactions, and calls of
 * {@link org.skylarkmast.core.ownership.OwnershipListener}.
 */
package org.skylarkmast.daemon.ownership;
