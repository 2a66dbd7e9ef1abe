/**
 * Assigns partitions to nodes; ownership is fenced in the key-value service.
 *
 * <p>State: this node's session and lease, the partitions it holds with their epochs, and the known
 * owners of the other partitions. Input: answers and watch events of the key-value service, and the
 * live sessions. Output: claims, hand-overs and lease renewals to write.
 */
package org.skylarkmast.core.ownership;
