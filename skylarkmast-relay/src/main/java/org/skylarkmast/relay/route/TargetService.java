package org.skylarkmast.relay.route;

/**
 * A service whose runners process requests.
 *
 * @param maxConnections maximum number of connections that a runner accepts from all callers
 * @param slots maximum number of requests that a runner processes at once, or 0 if not declared
 * @param tokensPerEvent output tokens in each event of a stream, at least 1
 */
public record TargetService(String name, int maxConnections, int slots, int tokensPerEvent) {}
