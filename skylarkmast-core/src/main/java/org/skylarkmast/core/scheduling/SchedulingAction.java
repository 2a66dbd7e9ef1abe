package org.skylarkmast.core.scheduling;

import org.skylarkmast.core.key.ProgramKey;

/** What the scheduler wants done. */
public sealed interface SchedulingAction {

    /**
     * Sends a call to a runner.
     *
     * @param attempt 1 for the first send
     */
    record Dispatch(long callId, String runner, int attempt) implements SchedulingAction {}

    /**
     * Ends a call that did not run: it was never sent, or each attempt provably did not run.
     *
     * @param retryAfterMs when the caller should come back, above 0
     */
    record Refuse(long callId, RefusalReason reason, long retryAfterMs)
            implements SchedulingAction {}

    /**
     * Ends a call whose attempts failed.
     *
     * @param lastFailure the last failure after which it may have run, if there was one; so the
     *     call did not run if {@link CallFailure#mayHaveRun()} is false
     * @param retryAfterMs when the caller should come back, above 0
     */
    record GiveUp(long callId, CallFailure lastFailure, long retryAfterMs)
            implements SchedulingAction {}

    /** Cancels an attempt under way. */
    record CancelAttempt(long callId, String runner) implements SchedulingAction {}

    /** Asks a runner to drop what it holds for a program; repeated until confirmed. */
    record ReleaseCache(String runner, ProgramKey program) implements SchedulingAction {}
}
