package org.skylarkmast.core.scheduling;

/** Why an attempt to run a call on a runner failed. */
public enum CallFailure {
    /** The request provably never left this host. */
    NOT_SENT,
    /** The runner refused it before running it, being too busy. */
    BUSY,
    /** The connection broke or the answer did not come; it may have run. */
    BROKEN,
    /** The time for the call ran out; it may have run. */
    TIMED_OUT,
    /** The runner answered that it failed inside; it may have run. */
    TARGET_ERROR,
    /** The runner refused it because the sender's epoch is stale; it did not run. */
    STALE_EPOCH;

    /** Whether the runner may have run the call. */
    public boolean mayHaveRun() {
        return this == BROKEN || this == TIMED_OUT || this == TARGET_ERROR;
    }
}
