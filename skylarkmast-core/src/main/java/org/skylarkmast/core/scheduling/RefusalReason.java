package org.skylarkmast.core.scheduling;

/** Why the scheduler will not run a call. */
public enum RefusalReason {
    /** The queue is full, or the wait would be longer than the call may wait. */
    OVERLOADED,
    /** The workspace has as many calls waiting as it may. */
    WORKSPACE_LIMIT,
    /** It waited as long as it may. */
    WAITED_TOO_LONG,
    /** No runner offers what it asks for, or all are ejected or leaving. */
    NO_RUNNER,
    /** Its deadline passed. */
    DEADLINE
}
