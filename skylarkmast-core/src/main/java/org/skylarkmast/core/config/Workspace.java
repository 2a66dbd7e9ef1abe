package org.skylarkmast.core.config;

import java.util.List;

/**
 * A team's share of the system; its callers see only its own programs.
 *
 * @param keySha256 lower-case hex SHA-256 digests of the bearer keys its callers may use
 * @param weight share of capacity relative to other workspaces, above 0
 * @param maxConcurrentCalls calls under way at once on one host, above 0
 * @param maxQueuedCalls calls waiting at once on one host, at least 0
 * @param cacheWeight price of a wasted prefill token relative to a token's time of latency, at
 *     least 0; 0 looks at latency alone
 */
public record Workspace(
        String name,
        List<String> keySha256,
        double weight,
        int maxConcurrentCalls,
        int maxQueuedCalls,
        double cacheWeight)
        implements ConfigurationObject {

    public Workspace {
        keySha256 = List.copyOf(keySha256);
    }
}
