package org.skylarkmast.core.scheduling;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.scheduling.cache.PendingReleases;
import org.skylarkmast.core.scheduling.cache.PendingReleases.Release;
import org.skylarkmast.core.scheduling.cache.PrefixBeliefs;

/**
 * Programs this node has seen calls of, where their prefixes are, and the release of what is left.
 */
final class CacheTracker {
    private static final double NS_PER_MS = 1e6;

    private final PrefixBeliefs beliefs;
    private final PendingReleases releases = new PendingReleases();
    private final Map<ProgramKey, RootProgram> roots = new HashMap<>();

    CacheTracker(SchedulerSettings settings) {
        double halfLifeNs =
                settings.uses(Mechanism.BELIEF_DECAY)
                        ? settings.beliefHalfLifeMs() * NS_PER_MS
                        : Double.POSITIVE_INFINITY;
        beliefs = new PrefixBeliefs(halfLifeNs);
    }

    /** The root of a program that makes a call, taken as live. */
    RootProgram onSubmitted(ProgramKey program, long nowNs) {
        for (String runner : releases.revive(program)) {
            beliefs.observe(program, runner, 0, nowNs);
        }
        RootProgram root = roots.computeIfAbsent(program.root(), key -> new RootProgram());
        if (program.depth() > 0) {
            root.subAgents.add(program);
        }
        return root;
    }

    /** The root's state, or null if it is not live here. */
    RootProgram root(ProgramKey program) {
        return roots.get(program.root());
    }

    /** Notes a program that another node ran before. */
    void onAdopted(ProgramKey program) {
        RootProgram root = roots.computeIfAbsent(program.root(), key -> new RootProgram());
        root.adopted = true;
        root.underWay = true;
        if (program.depth() > 0) {
            root.subAgents.add(program);
        }
    }

    /** Notes that a call goes to a runner, which may hold its prefix from now on. */
    void onDispatched(ProgramKey program, String runner, long nowNs) {
        int tokens = (int) beliefs.expectedTokens(program, runner, nowNs);
        beliefs.observe(program, runner, tokens, nowNs);
    }

    /** Notes how much of a program a runner holds after an answer. */
    void onAnswered(ProgramKey program, String runner, int tokens, long nowNs) {
        if (!releases.isEnded(program)) {
            beliefs.observe(program, runner, tokens, nowNs);
        }
    }

    /** Releases again what a call left on a runner after its program's end. */
    void onCallOver(ProgramKey program, String runner, long nowNs, List<SchedulingAction> actions) {
        if (releases.isEnded(program)) {
            release(runner, program, nowNs, actions);
        }
    }

    void onCacheReported(
            SchedulingEvent.CacheReported event, long nowNs, List<SchedulingAction> actions) {
        beliefs.onEventSequence(event.runner(), event.sequence(), nowNs);
        ProgramKey program = event.program();
        if (releases.isEnded(program)) {
            if (event.cachedTokens() > 0) {
                release(event.runner(), program, nowNs, actions);
            }
        } else if (roots.containsKey(program.root())) {
            beliefs.observe(program, event.runner(), event.cachedTokens(), nowNs);
        }
    }

    void onRunnerEmptied(String runner) {
        beliefs.clearRunner(runner);
        releases.clearRunner(runner);
    }

    void onReleased(String runner, ProgramKey program) {
        releases.confirm(new Release(runner, program));
    }

    /** Ends a program or sub-agent; a root ends its sub-agents too. */
    void onProgramEnded(
            ProgramKey program,
            Set<String> engineRunners,
            long nowNs,
            List<SchedulingAction> actions) {
        RootProgram root = roots.get(program.root());
        boolean wherever = root == null || root.adopted;
        if (program.depth() == 0 && root != null) {
            for (ProgramKey subAgent : root.subAgents) {
                endOne(subAgent, wherever ? engineRunners : Set.of(), nowNs, actions);
            }
            roots.remove(program);
        } else if (root != null) {
            root.subAgents.remove(program);
        }
        endOne(program, wherever ? engineRunners : Set.of(), nowNs, actions);
    }

    /** Repeats releases that were not confirmed. */
    void repeatReleases(long nowNs, List<SchedulingAction> actions) {
        for (Release release : releases.due(nowNs)) {
            actions.add(new SchedulingAction.ReleaseCache(release.runner(), release.program()));
        }
    }

    double expectedTokens(ProgramKey program, String runner, long nowNs) {
        return beliefs.expectedTokens(program, runner, nowNs);
    }

    List<String> holders(ProgramKey program) {
        return beliefs.holders(program);
    }

    int pendingReleases() {
        return releases.size();
    }

    private void endOne(
            ProgramKey program, Set<String> alsoAt, long nowNs, List<SchedulingAction> actions) {
        if (releases.isEnded(program)) {
            return;
        }
        Set<String> runners = new LinkedHashSet<>(beliefs.holders(program));
        runners.addAll(alsoAt);
        beliefs.forget(program);
        releases.end(program);
        for (String runner : runners) {
            release(runner, program, nowNs, actions);
        }
    }

    private void release(
            String runner, ProgramKey program, long nowNs, List<SchedulingAction> actions) {
        releases.start(new Release(runner, program), nowNs);
        actions.add(new SchedulingAction.ReleaseCache(runner, program));
    }
}
