package org.skylarkmast.relay.route;

/**
 * A service whose runners take requests.
 *
 * @param maxConnections connections one runner accepts from all callers together
 * @param slots requests a runner works on at once, or 0 if not declared
 * @param tokensPerEvent output tokens in each event of a stream, at least 1
 */
public record TargetService(String name, int maxConnections, int slots, int tokensPerEvent) {}
