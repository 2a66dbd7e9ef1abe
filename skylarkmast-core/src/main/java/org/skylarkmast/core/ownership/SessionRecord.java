package org.skylarkmast.core.ownership;

/**
 * The stored value of a session key: one live incarnation of a node.
 *
 * @param weight size of the node relative to others, above 0
 * @param draining whether it gives its partitions away
 */
public record SessionRecord(
        String node, String failureDomain, String peerAddress, double weight, boolean draining) {

    /** The same session, draining. */
    public SessionRecord drainingNow() {
        return new SessionRecord(node, failureDomain, peerAddress, weight, true);
    }
}
