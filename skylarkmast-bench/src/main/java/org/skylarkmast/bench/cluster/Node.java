package org.skylarkmast.bench.cluster;

/**
 * A node of the product.
 *
 * @param callerAddress address of the port for callers
 * @param administrationAddress address of the administration port
 */
public record Node(
        String name,
        String failureDomain,
        String callerAddress,
        String peerAddress,
        String administrationAddress) {}
