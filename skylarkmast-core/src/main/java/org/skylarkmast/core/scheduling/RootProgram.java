package org.skylarkmast.core.scheduling;

import java.util.LinkedHashSet;
import java.util.Set;
import org.skylarkmast.core.key.ProgramKey;

/** What a root program with its sub-agents got so far. */
final class RootProgram {
    long attainedServiceNs;
    boolean underWay;
    boolean adopted;

    /** Sub-agents with calls so far. */
    final Set<ProgramKey> subAgents = new LinkedHashSet<>(0);

    /**
     * Its place in the queue among calls of its workspace; smaller goes first. Service sets a call
     * back by a fixed time, so a call that waits is overtaken for that long at most.
     */
    long rank(SchedulerSettings settings, long nowNs) {
        double rank = nowNs;
        if (settings.uses(Mechanism.ATTAINED_SERVICE)) {
            rank += settings.attainedServiceWeight() * attainedServiceNs;
        }
        return (long) rank;
    }
}
