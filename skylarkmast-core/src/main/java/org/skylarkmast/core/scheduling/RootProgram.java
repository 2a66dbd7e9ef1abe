package org.skylarkmast.core.scheduling;

import java.util.LinkedHashSet;
import java.util.Set;
import org.skylarkmast.core.key.ProgramKey;

/** Scheduling state of a root program and its sub-agents. */
final class RootProgram {
    long attainedServiceNs;
    boolean started;
    boolean adopted;

    /** Sub-agents that have submitted calls. */
    final Set<ProgramKey> subAgents = new LinkedHashSet<>(0);

    /**
     * The position in the queue among calls of the same workspace; smaller goes first. Attained
     * service delays a call by a fixed time, so later calls can overtake a queued call for at most
     * that long.
     */
    long rank(SchedulerSettings settings, long nowNs) {
        double rank = nowNs;
        if (settings.isEnabled(Mechanism.ATTAINED_SERVICE)) {
            rank += settings.attainedServiceWeight() * attainedServiceNs;
        }
        return (long) rank;
    }
}
