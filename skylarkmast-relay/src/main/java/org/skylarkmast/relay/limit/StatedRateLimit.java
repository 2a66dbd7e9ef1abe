package org.skylarkmast.relay.limit;

/** What an answer of a runner says about the rate at which the runner accepts requests. */
public sealed interface StatedRateLimit {

    /**
     * The runner accepts a limited rate.
     *
     * @param requestsPerSecond rate accepted from all entry nodes together, at least 0 and finite
     */
    record Limited(double requestsPerSecond) implements StatedRateLimit {
        public Limited {
            if (!(requestsPerSecond >= 0) || Double.isInfinite(requestsPerSecond)) {
                throw new IllegalArgumentException(
                        "requestsPerSecond must be finite and at least 0: " + requestsPerSecond);
            }
        }
    }

    /** The runner states no limit. */
    record Unlimited() implements StatedRateLimit {}

    /** The runner states a limit that cannot be parsed; what it stated before remains in force. */
    record Unreadable(String value) implements StatedRateLimit {}
}
