package org.skylarkmast.core.scheduling;

/** Why the scheduler refuses a call. */
public enum RefusalReason {
    /** The queue is full, or the predicted wait exceeds the time the call may be queued. */
    OVERLOADED,
    /** The workspace has reached its limit of queued calls. */
    WORKSPACE_LIMIT,
    /** The call was queued for its maximum time. */
    WAITED_TOO_LONG,
    /** No runner offers the destination, or all that do are ejected or leaving. */
    NO_RUNNER,
    /** The call's deadline passed. */
    DEADLINE
}
