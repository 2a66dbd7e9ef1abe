/**
 * Which node decides about which partition, fenced in the key-value service.
 *
 * <p>State: this node's session and lease, the partitions it holds with their epochs, and what it
 * knows of others. Messages in: answers and watch events of the key-value service, the live nodes;
 * out: claims, hand-overs and renewals to write.
 */
package org.skylarkmast.core.ownership;
