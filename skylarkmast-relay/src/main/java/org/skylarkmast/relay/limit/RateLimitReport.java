package org.skylarkmast.relay.limit;

/**
 * What a runner stated about its rate limit, as one node tells another.
 *
 * @param incarnation the runner's incarnation
 * @param requestsPerSecond the limit, or {@link #WITHDRAWN}
 * @param ageMs time since the answer that stated it
 */
public record RateLimitReport(String incarnation, double requestsPerSecond, long ageMs) {

    /** Value of a limit that the runner no longer states. */
    public static final double WITHDRAWN = -1;

    /** Whether the runner stated a limit. */
    public boolean isLimited() {
        return requestsPerSecond >= 0;
    }
}
