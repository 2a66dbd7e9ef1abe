package org.skylarkmast.relay.peer;

/**
 * An entry node that reaches runners and takes requests of other entry nodes.
 *
 * @param process name of its process, different after each start
 * @param address {@code host:port} for requests of other entry nodes
 */
public record PeerNode(String process, String address) {}
