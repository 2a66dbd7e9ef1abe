package org.skylarkmast.bench.cluster;

/**
 * One of the product's nodes.
 *
 * @param callers address of the callers' port
 * @param administration address of the administration port
 */
public record Node(
        String name, String failureDomain, String callers, String peers, String administration) {}
