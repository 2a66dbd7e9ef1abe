package org.skylarkmast.core.scheduling;

/**
 * The scheduler's data on a runner, for the status page.
 *
 * @param queue calls that the runner reported as queued inside it
 * @param inFlight this node's calls in flight there
 * @param health whether the runner gets calls
 * @param prefillTokensPerS estimated prefill rate; 0 for a plain service
 * @param interTokenMs estimated time between two answer tokens; 0 for a plain service
 * @param callMs estimated time of a whole call
 */
public record RunnerStatus(
        String runner,
        int queue,
        int inFlight,
        Health health,
        double prefillTokensPerS,
        double interTokenMs,
        double callMs) {

    /** Whether a runner gets calls. */
    public enum Health {
        /** The runner gets calls. */
        HEALTHY,
        /** Answers are overdue; the runner gets fewer calls. */
        SLOW,
        /** The runner failed and gets one call at a time as a probe. */
        HALF_OPEN,
        /** The runner failed and gets no calls until its ejection ends. */
        EJECTED,
        /** The runner is leaving and gets no new calls. */
        LEAVING
    }
}
