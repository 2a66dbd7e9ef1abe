package org.skylarkmast.relay.route;

/**
 * A service whose runners process requests.
 *
 * @param maxConnections maximum number of connections that a runner accepts from all callers
 * @param slots maximum number of requests that a runner processes at once, or 0 if not declared
 * @param tokensPerEvent output tokens in each event of a stream, at least 1
 * @param capacityTokens tokens of all its requests for which a runner has memory, or 0 if not
 *     declared
 */
public record TargetService(
        String name, int maxConnections, int slots, int tokensPerEvent, long capacityTokens) {

    /** Creates a service that does not declare the memory of its runners. */
    public TargetService(String name, int maxConnections, int slots, int tokensPerEvent) {
        this(name, maxConnections, slots, tokensPerEvent, 0);
    }
}
