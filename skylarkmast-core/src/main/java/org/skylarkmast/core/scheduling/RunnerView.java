package org.skylarkmast.core.scheduling;

/**
 * What the scheduler knows of a runner, for the status page.
 *
 * @param queue calls that the runner reported as waiting inside
 * @param inFlight this node's calls under way there
 * @param health whether it gets calls
 * @param prefillTokensPerS learnt rate of prefill; 0 for a plain service
 * @param interTokenMs learnt time between two answer tokens; 0 for a plain service
 * @param callMs learnt time of a whole call
 */
public record RunnerView(
        String runner,
        int queue,
        int inFlight,
        Health health,
        double prefillTokensPerS,
        double interTokenMs,
        double callMs) {

    /** Whether a runner gets calls. */
    public enum Health {
        /** It gets calls. */
        HEALTHY,
        /** Its answers are overdue; it gets fewer calls. */
        SLOW,
        /** It failed and gets one call at a time as a probe. */
        HALF_OPEN,
        /** It failed and gets no calls for a while. */
        EJECTED,
        /** It is leaving and gets no new calls. */
        LEAVING
    }
}
