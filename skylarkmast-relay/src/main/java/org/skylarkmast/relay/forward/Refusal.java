package org.skylarkmast.relay.forward;

/**
 * An answer of our own.
 *
 * @param status HTTP status; 402, 404, 429 and 503 promise that the request has not run
 * @param retryAfterMs when to come back, or {@link #NEVER}
 * @param reason for the log and the body
 */
record Refusal(int status, long retryAfterMs, String reason) {

    /** The caller need not come back. */
    static final long NEVER = -1;

    static Refusal notRun(long retryAfterMs, String reason) {
        return new Refusal(503, retryAfterMs, reason);
    }

    static Refusal mayHaveRun(String reason) {
        return new Refusal(502, NEVER, reason);
    }

    static Refusal timedOut(String reason) {
        return new Refusal(504, NEVER, reason);
    }

    static Refusal of(int status, String reason) {
        return new Refusal(status, NEVER, reason);
    }
}
