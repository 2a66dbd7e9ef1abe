package org.skylarkmast.core.scheduling;

import java.util.EnumSet;
import java.util.Set;

/**
 * Bounds and weights of the scheduling policy.
 *
 * @param maxQueuedCalls calls waiting for one destination, above 0
 * @param maxAttempts sends of one call, above 0
 * @param retriesPerCall retries that each first send earns, between 0 and 1
 * @param maxSavedRetries retries that can be saved up for one destination, at least 1
 * @param beliefHalfLifeMs time after which half of an unconfirmed belief in a cached prefix is left
 * @param attainedServiceWeight time a call is set back in the queue for each unit of service time
 *     its root program got, at least 0
 * @param newProgramWaitShare wait of calls of programs under way, as a share of the longest wait,
 *     from which new programs are refused; above 0
 * @param sampledRunners runners looked at for one call, beside those that hold its prefix, where a
 *     destination has more than {@link #MAX_SCANNED_RUNNERS}
 * @param mechanisms parts of the policy that are in use
 */
public record SchedulerSettings(
        int maxQueuedCalls,
        int maxAttempts,
        double retriesPerCall,
        double maxSavedRetries,
        long beliefHalfLifeMs,
        double attainedServiceWeight,
        double newProgramWaitShare,
        int sampledRunners,
        Set<Mechanism> mechanisms) {

    /** Runners of one destination up to which all are looked at for each call. */
    public static final int MAX_SCANNED_RUNNERS = 32;

    public SchedulerSettings {
        mechanisms = Set.copyOf(mechanisms);
    }

    /** The settings of a deployment that states none. */
    public static SchedulerSettings defaults() {
        return new SchedulerSettings(
                2_000, 5, 0.2, 50, 3_600_000, 0.5, 0.06, 8, EnumSet.allOf(Mechanism.class));
    }

    /** These settings without one mechanism. */
    public SchedulerSettings without(Mechanism mechanism) {
        Set<Mechanism> rest = EnumSet.allOf(Mechanism.class);
        rest.retainAll(mechanisms);
        rest.remove(mechanism);
        return new SchedulerSettings(
                maxQueuedCalls,
                maxAttempts,
                retriesPerCall,
                maxSavedRetries,
                beliefHalfLifeMs,
                attainedServiceWeight,
                newProgramWaitShare,
                sampledRunners,
                rest);
    }

    boolean uses(Mechanism mechanism) {
        return mechanisms.contains(mechanism);
    }
}
