package org.skylarkmast.core.scheduling;

import java.util.LinkedHashSet;
import java.util.Set;
import org.skylarkmast.core.key.ProgramKey;

/** What a root program with its sub-agents got so far. */
final class RootProgram {
    private static final double NS_PER_MS = 1e6;

    long attainedServiceNs;
    long waitedNs;
    boolean underWay;
    boolean adopted;

    /** Sub-agents with calls so far. */
    final Set<ProgramKey> subAgents = new LinkedHashSet<>(0);

    /** Its place in the queue among calls of its workspace; smaller goes first. */
    long rank(SchedulerSettings settings, long nowNs) {
        double rank = nowNs;
        if (settings.uses(Mechanism.ATTAINED_SERVICE)) {
            rank += settings.attainedServiceWeight() * attainedServiceNs;
        }
        if (settings.uses(Mechanism.AGEING)) {
            rank -= settings.ageingWeight() * waitedNs;
        }
        if (settings.uses(Mechanism.PROGRAMS_UNDER_WAY_FIRST) && underWay) {
            rank -= settings.underWayBonusMs() * NS_PER_MS;
        }
        return (long) rank;
    }
}
