package org.skylarkmast.relay.route;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param maxHeadBytes maximum size of a request's head
 * @param maxBodyBytes maximum size of a request's body
 * @param headTimeoutMs maximum time from the first byte of a request to the end of its head
 * @param idleTimeoutMs maximum time for which a connection may stay open without a request
 * @param provisional whether these are the node's own limits, since it knows no configuration yet;
 *     a request above them may be within those of the configuration
 */
public record CallerLimits(
        int maxHeadBytes,
        long maxBodyBytes,
        long headTimeoutMs,
        long idleTimeoutMs,
        boolean provisional) {

    /** Creates the limits of a configuration. */
    public CallerLimits(
            int maxHeadBytes, long maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {
        this(maxHeadBytes, maxBodyBytes, headTimeoutMs, idleTimeoutMs, false);
    }
}
