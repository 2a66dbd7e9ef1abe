package org.skylarkmast.core.config;

import java.util.List;

/**
 * A customer of the system, with its share of the capacity; its callers can access only its own
 * programs.
 *
 * @param keySha256 lower-case hex SHA-256 digests of the bearer keys that its callers may use
 * @param weight share of the capacity relative to other workspaces, above 0
 * @param maxConcurrentCalls maximum number of calls in flight on one host, above 0
 * @param maxQueuedCalls maximum number of queued calls on one host, at least 0
 * @param cacheWeight cost of a wasted prefill token relative to the latency of one token, at least
 *     0; with 0, only latency counts
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
