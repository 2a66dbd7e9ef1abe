package org.skylarkmast.relay.forward;

import java.util.Set;

/**
 * An error answer that the entry node generates itself.
 *
 * @param status HTTP status; 401, 402, 404, 429 and 503 guarantee that the request was not run
 * @param retryAfterMs time after which the caller may retry, or {@link #NEVER}
 * @param reason reason for the log and the body
 */
public record Refusal(int status, long retryAfterMs, String reason) {

    /** Value of {@code retryAfterMs} if a retry is of no use. */
    static final long NEVER = -1;

    private static final int NOT_RUN = 503;

    /** Statuses that guarantee that the request was not run and will not be. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(401, 402, 404, 429, NOT_RUN);

    /** Statuses by which callers take a request for not run, whoever answers. */
    private static final Set<Integer> PROMISING_STATUSES = Set.of(402, 408, 421, 429, NOT_RUN);

    /** Whether {@code status} alone promises callers that the request was not run. */
    static boolean promisesNotRun(int status) {
        return PROMISING_STATUSES.contains(status);
    }

    static Refusal notRun(long retryAfterMs, String reason) {
        return new Refusal(NOT_RUN, retryAfterMs, reason);
    }

    static Refusal mayHaveRun(String reason) {
        return new Refusal(502, NEVER, reason);
    }

    static Refusal timedOut(String reason) {
        return new Refusal(504, NEVER, reason);
    }

    /** Refuses a request of another entry node, which may leave it to a third one. */
    static Refusal misdirected(String reason) {
        return new Refusal(421, NEVER, reason);
    }

    /** Whether the same request may be served later, or by another entry node. */
    boolean isTemporary() {
        return status == NOT_RUN;
    }

    /** Returns this refusal, without the guarantee if a runner may have run the request. */
    Refusal ifMayHaveRun(boolean mayHaveRun) {
        return mayHaveRun && NOT_RUN_STATUSES.contains(status) ? mayHaveRun(reason) : this;
    }

    static Refusal of(int status, String reason) {
        return new Refusal(status, NEVER, reason);
    }
}
