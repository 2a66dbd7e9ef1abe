package org.skylarkmast.core.ownership;

/**
 * The value stored under a session key; describes one live incarnation of a node.
 *
 * @param weight capacity of the node relative to others; greater than 0
 * @param draining whether the node is handing over its partitions
 */
public record SessionRecord(
        String node, String failureDomain, String peerAddress, double weight, boolean draining) {

    /** Returns a copy of this session that is marked as draining. */
    public SessionRecord asDraining() {
        return new SessionRecord(node, failureDomain, peerAddress, weight, true);
    }
}
