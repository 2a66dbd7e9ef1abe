package org.skylarkmast.relay.route;

/**
 * What a caller may send and how long it may take.
 *
 * @param headTimeoutMs from the first byte of a request to the end of its head
 * @param idleTimeoutMs how long a connection may stay without a request
 */
public record CallerLimits(
        int maxHeadBytes, long maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {}
