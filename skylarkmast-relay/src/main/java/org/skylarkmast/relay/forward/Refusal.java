package org.skylarkmast.relay.forward;

/**
 * An error answer that the entry node generates itself.
 *
 * @param status HTTP status; 402, 404, 429 and 503 guarantee that the request was not run
 * @param retryAfterMs time after which the caller may retry, or {@link #NEVER}
 * @param reason reason for the log and the body
 */
record Refusal(int status, long retryAfterMs, String reason) {

    /** Value of {@code retryAfterMs} if a retry is of no use. */
    static final long NEVER = -1;

    /** Status of a request that was not run and will not be. */
    static final int NOT_RUN = 503;

    static Refusal notRun(long retryAfterMs, String reason) {
        return new Refusal(NOT_RUN, retryAfterMs, reason);
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
