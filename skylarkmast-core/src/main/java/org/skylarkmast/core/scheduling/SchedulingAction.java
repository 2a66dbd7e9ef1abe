package org.skylarkmast.core.scheduling;

import org.skylarkmast.core.key.ProgramKey;

/** An action that the scheduler asks its caller to perform. */
public sealed interface SchedulingAction {

    /**
     * Sends a call to a runner.
     *
     * @param attempt number of the attempt, from 1
     */
    record Dispatch(long callId, String runner, int attempt) implements SchedulingAction {}

    /**
     * Ends a call that did not run: it was never sent, or no attempt can have run.
     *
     * @param retryAfterMs delay after which the caller should retry, above 0
     */
    record Refuse(long callId, RefusalReason reason, long retryAfterMs)
            implements SchedulingAction {}

    /**
     * Ends a call whose attempts failed.
     *
     * @param lastFailure the last failure after which the call may have run, if there was one;
     *     hence the call did not run if {@link CallFailure#mayHaveRun()} is false
     * @param retryAfterMs delay after which the caller should retry, above 0
     */
    record GiveUp(long callId, CallFailure lastFailure, long retryAfterMs)
            implements SchedulingAction {}

    /** Cancels an attempt in flight. */
    record CancelAttempt(long callId, String runner) implements SchedulingAction {}

    /** Asks a runner to drop its cache of a program; repeated until the runner confirms it. */
    record ReleaseCache(String runner, ProgramKey program) implements SchedulingAction {}
}
