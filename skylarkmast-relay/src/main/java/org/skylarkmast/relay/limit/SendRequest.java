package org.skylarkmast.relay.limit;

/**
 * A request to send to a runner with a rate limit.
 *
 * @param incarnation the runner's incarnation
 * @param requestsPerSecond the rate that it accepts from all entry nodes together, above 0
 * @param maxWaitMs longest time that the send may be delayed, at least 0
 */
public record SendRequest(String incarnation, double requestsPerSecond, long maxWaitMs) {
    public SendRequest {
        if (!(requestsPerSecond > 0) || maxWaitMs < 0) {
            throw new IllegalArgumentException(
                    "send request out of range: " + requestsPerSecond + "/s, " + maxWaitMs + " ms");
        }
    }
}
