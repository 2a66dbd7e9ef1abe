package org.skylarkmast.relay.route;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param maxHeadBytes maximum size of a request's head
 * @param maxBodyBytes maximum size of a request's body
 * @param headTimeoutMs maximum time from the first byte of a request to the end of its head
 * @param idleTimeoutMs maximum time for which a connection may stay open without a request
 */
public record CallerLimits(
        int maxHeadBytes, long maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {}
