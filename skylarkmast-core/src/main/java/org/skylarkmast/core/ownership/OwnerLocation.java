package org.skylarkmast.core.ownership;

/**
 * The owner of a partition as last read from the key-value service.
 *
 * @param incarnation identifies one run of a node; a restart creates a new incarnation
 * @param node name of the node
 * @param peerAddress address at which it accepts forwarded calls, {@code host:port}
 * @param epoch increases by one with every write of the ownership record
 */
public record OwnerLocation(String incarnation, String node, String peerAddress, long epoch) {}
