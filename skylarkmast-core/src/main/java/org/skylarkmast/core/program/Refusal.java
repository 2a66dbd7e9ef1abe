package org.skylarkmast.core.program;

/**
 * A request's final answer when it is not the one asked for.
 *
 * @param detail what happened, for the caller's eyes
 * @param retryAfterMs when to come back, in milliseconds; 0 if coming back does not help
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
         * The key was used for another request, or the program is busy with what it cannot leave.
         */
        CONFLICT,
        /** The program's budget does not cover the request. */
        BUDGET_SPENT,
        /** The program made as many calls as it may. */
        TURN_LIMIT,
        /** Too many requests wait. */
        OVERLOADED,
        /** No runner can take the request. */
        NO_RUNNER,
        /** The time for the call ran out. */
        TIMED_OUT,
        /** The target failed. */
        TARGET_FAILED,
        /** The key-value service cannot record what has to be recorded first. */
        STORE_DOWN,
        /** The program moves to another owner. */
        OWNER_MOVED
    }
}
