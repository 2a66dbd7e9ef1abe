package org.skylarkmast.core.scheduling;

import java.util.EnumSet;
import java.util.Set;

/**
 * Limits and weights of the scheduling policy.
 *
 * @param maxQueuedCalls maximum number of calls queued for one destination, above 0
 * @param maxAttempts maximum number of attempts per call, above 0
 * @param retriesPerCall retries that each first attempt adds to the budget, between 0 and 1
 * @param maxRetryBalance maximum retry balance of one destination, at least 1
 * @param prefixEstimateHalfLifeMs time after which an unconfirmed estimate of a cached prefix is
 *     halved
 * @param attainedServiceWeight time a call is set back in the queue for each unit of service time
 *     that its root program has received, at least 0
 * @param newProgramWaitShare wait of calls of started programs, as a fraction of the maximum wait,
 *     above which new programs are refused; above 0
 * @param sampledRunners runners sampled for one call, in addition to those that are estimated to
 *     cache its prefix, where a destination has more than {@link #MAX_SCANNED_RUNNERS}
 * @param mechanisms parts of the policy that are enabled
 */
public record SchedulerSettings(
        int maxQueuedCalls,
        int maxAttempts,
        double retriesPerCall,
        double maxRetryBalance,
        long prefixEstimateHalfLifeMs,
        double attainedServiceWeight,
        double newProgramWaitShare,
        int sampledRunners,
        Set<Mechanism> mechanisms) {

    /** Number of runners of one destination up to which all are evaluated for each call. */
    public static final int MAX_SCANNED_RUNNERS = 32;

    public SchedulerSettings {
        mechanisms = Set.copyOf(mechanisms);
    }

    /** The default settings. */
    public static SchedulerSettings defaults() {
        return new SchedulerSettings(
                2_000, 5, 0.2, 50, 3_600_000, 0.5, 0.06, 8, EnumSet.allOf(Mechanism.class));
    }

    /** A copy of these settings with one mechanism disabled. */
    public SchedulerSettings without(Mechanism mechanism) {
        Set<Mechanism> rest = EnumSet.allOf(Mechanism.class);
        rest.retainAll(mechanisms);
        rest.remove(mechanism);
        return new SchedulerSettings(
                maxQueuedCalls,
                maxAttempts,
                retriesPerCall,
                maxRetryBalance,
                prefixEstimateHalfLifeMs,
                attainedServiceWeight,
                newProgramWaitShare,
                sampledRunners,
                rest);
    }

    boolean isEnabled(Mechanism mechanism) {
        return mechanisms.contains(mechanism);
    }
}
