package org.skylarkmast.core.ownership;

/**
 * The owner of a partition as last seen.
 *
 * @param incarnation one start of a node; a restart is another incarnation
 * @param node the node's name
 * @param peerAddress where it takes forwarded calls, {@code host:port}
 * @param epoch grows by one with every change of owner
 */
public record OwnerLocation(String incarnation, String node, String peerAddress, long epoch) {}
