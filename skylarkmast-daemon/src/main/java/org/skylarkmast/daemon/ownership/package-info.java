/**
 * Partition ownership based on the key-value service: the session of this node, claims, hand-overs
 * and the directory of owners.
 *
 * <p>{@link org.skylarkmast.daemon.ownership.NodeSession} holds the lease; {@link
 * org.skylarkmast.daemon.ownership.OwnershipService} holds the state machine and the published
 * directory. Inputs are responses and watch events of the key-value service; outputs are
 * transactions and calls to {@link org.skylarkmast.core.ownership.OwnershipListener}.
 */
package org.skylarkmast.daemon.ownership;
