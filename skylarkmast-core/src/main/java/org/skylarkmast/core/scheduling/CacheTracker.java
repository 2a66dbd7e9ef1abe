package org.skylarkmast.core.scheduling;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.scheduling.cache.PendingReleases;
import org.skylarkmast.core.scheduling.cache.PendingReleases.Release;
import org.skylarkmast.core.scheduling.cache.PrefixEstimates;

/**
 * Tracks the programs that this node has seen calls of, estimates which runners cache their
 * prefixes, and releases the caches of programs that have ended.
 */
final class CacheTracker {
    private static final double NS_PER_MS = 1e6;

    private final PrefixEstimates prefixEstimates;
    private final PendingReleases releases = new PendingReleases();
    private final Map<ProgramKey, RootProgram> roots = new HashMap<>();

    CacheTracker(SchedulerSettings settings) {
        double halfLifeNs =
                settings.isEnabled(Mechanism.BELIEF_DECAY)
                        ? settings.prefixEstimateHalfLifeMs() * NS_PER_MS
                        : Double.POSITIVE_INFINITY;
        prefixEstimates = new PrefixEstimates(halfLifeNs);
    }

    /** Returns the root of a program that submits a call; an ended program becomes live again. */
    RootProgram onSubmitted(ProgramKey program, long nowNs) {
        for (String runner : releases.reactivate(program)) {
            prefixEstimates.observe(program, runner, 0, nowNs);
        }
        RootProgram root = roots.computeIfAbsent(program.root(), key -> new RootProgram());
        if (program.depth() > 0) {
            root.subAgents.add(program);
        }
        return root;
    }

    /** The state of the program's root, or null if this node has no live program of that root. */
    RootProgram root(ProgramKey program) {
        return roots.get(program.root());
    }

    /** Registers a program that another node owned before. */
    void onAdopted(ProgramKey program) {
        RootProgram root = roots.computeIfAbsent(program.root(), key -> new RootProgram());
        root.adopted = true;
        root.started = true;
        if (program.depth() > 0) {
            root.subAgents.add(program);
        }
    }

    /** Records that a call is sent to a runner, which may cache its prefix from now on. */
    void onDispatched(ProgramKey program, String runner, long nowNs) {
        int tokens = (int) prefixEstimates.expectedTokens(program, runner, nowNs);
        prefixEstimates.observe(program, runner, tokens, nowNs);
    }

    /** Records how many of a program's tokens a runner caches after an answer. */
    void onSucceeded(ProgramKey program, String runner, int tokens, long nowNs) {
        if (!releases.isEnded(program)) {
            prefixEstimates.observe(program, runner, tokens, nowNs);
        }
    }

    /**
     * Releases the cache again if an attempt ended after its program did, since the attempt may
     * have refilled it.
     */
    void onAttemptEnded(
            ProgramKey program, String runner, long nowNs, List<SchedulingAction> actions) {
        if (releases.isEnded(program)) {
            release(runner, program, nowNs, actions);
        }
    }

    void onCacheReported(
            SchedulingEvent.CacheReported event, long nowNs, List<SchedulingAction> actions) {
        prefixEstimates.onCacheEvent(event.runner(), event.sequence(), nowNs);
        ProgramKey program = event.program();
        if (releases.isEnded(program)) {
            if (event.cachedTokens() > 0) {
                release(event.runner(), program, nowNs, actions);
            }
        } else if (roots.containsKey(program.root())) {
            prefixEstimates.observe(program, event.runner(), event.cachedTokens(), nowNs);
        }
    }

    void onCacheCleared(String runner) {
        prefixEstimates.removeRunner(runner);
        releases.removeRunner(runner);
    }

    void onReleased(String runner, ProgramKey program) {
        releases.confirm(new Release(runner, program));
    }

    /**
     * Ends a program or sub-agent; ending a root ends its sub-agents too. Where this node does not
     * know every runner that may cache the prefix (no root state, or the program was taken over
     * from another node), the release goes to all engines.
     */
    void onProgramEnded(
            ProgramKey program,
            Set<String> engineRunners,
            long nowNs,
            List<SchedulingAction> actions) {
        RootProgram root = roots.get(program.root());
        boolean releaseOnAllEngines = root == null || root.adopted;
        if (program.depth() == 0 && root != null) {
            for (ProgramKey subAgent : root.subAgents) {
                endSingle(subAgent, releaseOnAllEngines ? engineRunners : Set.of(), nowNs, actions);
            }
            roots.remove(program);
        } else if (root != null) {
            root.subAgents.remove(program);
        }
        endSingle(program, releaseOnAllEngines ? engineRunners : Set.of(), nowNs, actions);
    }

    /** Sends releases again that were not confirmed in time. */
    void retryReleases(long nowNs, List<SchedulingAction> actions) {
        for (Release release : releases.due(nowNs)) {
            actions.add(new SchedulingAction.ReleaseCache(release.runner(), release.program()));
        }
    }

    double expectedTokens(ProgramKey program, String runner, long nowNs) {
        return prefixEstimates.expectedTokens(program, runner, nowNs);
    }

    List<String> holders(ProgramKey program) {
        return prefixEstimates.holders(program);
    }

    int pendingReleases() {
        return releases.size();
    }

    private void endSingle(
            ProgramKey program,
            Set<String> otherRunners,
            long nowNs,
            List<SchedulingAction> actions) {
        if (releases.isEnded(program)) {
            return;
        }
        Set<String> runners = new LinkedHashSet<>(prefixEstimates.holders(program));
        runners.addAll(otherRunners);
        prefixEstimates.removeProgram(program);
        releases.markEnded(program);
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
