package org.skylarkmast.core.scheduling;

/** Why an attempt to run a call on a runner failed. */
public enum CallFailure {
    /** The request never left this host. */
    NOT_SENT,
    /** The runner was too busy and rejected the call before running it. */
    BUSY,
    /** The connection broke or no answer arrived; the call may have run. */
    BROKEN,
    /** The call timed out; it may have run. */
    TIMED_OUT,
    /** The runner answered with an internal error; the call may have run. */
    TARGET_ERROR,
    /** The runner rejected the call because the sender's epoch is stale; the call did not run. */
    STALE_EPOCH;

    /** Whether the runner may have run the call. */
    public boolean mayHaveRun() {
        return this == BROKEN || this == TIMED_OUT || this == TARGET_ERROR;
    }
}
