package org.skylarkmast.core.program;

/**
 * Why a request ended without the answer it asked for.
 *
 * @param detail what happened, in words for the caller
 * @param retryAfterMs delay before the next retry, in milliseconds; 0 if a retry does not help
 */
public record Refusal(Kind kind, String detail, Execution execution, long retryAfterMs) {

    /** Why a request is refused. */
    public enum Kind {
        /** The request itself is wrong. */
        INVALID,
        /** No such program, template, model or service for this workspace. */
        NOT_FOUND,
        /** The program has ended. */
        PROGRAM_ENDED,
        /**
         * The idempotency key was used for another request, or the program has calls that must end
         * first.
         */
        CONFLICT,
        /** The program's budget does not cover the request. */
        BUDGET_SPENT,
        /** The program reached its limit of calls. */
        TURN_LIMIT,
        /** Too many requests are waiting. */
        OVERLOADED,
        /** No runner can take the request. */
        NO_RUNNER,
        /** The time for the call ran out. */
        TIMED_OUT,
        /** The target failed. */
        TARGET_FAILED,
        /** The key-value service cannot commit a record that the request depends on. */
        STORE_DOWN,
        /** The program is moving to another owner. */
        OWNER_MOVED
    }
}
