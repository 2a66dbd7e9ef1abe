package org.skylarkmast.core.scheduling.cache;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.key.ProgramKey;

/**
 * Estimates how many prefix tokens of each program each engine caches.
 *
 * <p>An estimate is set from the token count of an answer or from a cache event. It decays with
 * time, since evictions may go unreported. Not thread-safe: owned by the scheduler's event loop.
 */
public final class PrefixEstimates {
    private static final double CONFIDENCE_AFTER_GAP = 0.8;

    private final double halfLifeNs;
    private final Map<ProgramKey, List<Estimate>> estimates = new HashMap<>();
    private final Map<String, LastEvent> lastEvents = new HashMap<>();

    private static final class Estimate {
        private final String runner;
        private int tokens;
        private long observedAtNs;

        private Estimate(String runner, int tokens, long observedAtNs) {
            this.runner = runner;
            this.tokens = tokens;
            this.observedAtNs = observedAtNs;
        }
    }

    private record LastEvent(long sequence, long lastGapAtNs) {}

    /**
     * Creates an instance without estimates.
     *
     * @param halfLifeNs time after which an unconfirmed estimate is halved, in nanoseconds
     */
    public PrefixEstimates(double halfLifeNs) {
        this.halfLifeNs = halfLifeNs;
    }

    /**
     * Records the sequence number of a runner's cache event. After a gap, older estimates for the
     * runner are reduced, since an eviction event may have been lost.
     */
    public void onCacheEvent(String runner, long sequence, long nowNs) {
        LastEvent lastEvent = lastEvents.get(runner);
        boolean hasGap = lastEvent != null && sequence > lastEvent.sequence() + 1;
        long lastGapAtNs =
                hasGap ? nowNs : lastEvent == null ? Long.MIN_VALUE : lastEvent.lastGapAtNs();
        lastEvents.put(runner, new LastEvent(sequence, lastGapAtNs));
    }

    /** Records that {@code runner} caches {@code tokens} of the program's prefix. */
    public void observe(ProgramKey program, String runner, int tokens, long nowNs) {
        List<Estimate> programEstimates =
                estimates.computeIfAbsent(program, key -> new ArrayList<>(1));
        for (Estimate estimate : programEstimates) {
            if (estimate.runner.equals(runner)) {
                estimate.tokens = tokens;
                estimate.observedAtNs = nowNs;
                return;
            }
        }
        programEstimates.add(new Estimate(runner, tokens, nowNs));
    }

    /** Whether the program has estimates. */
    public boolean hasEstimates(ProgramKey program) {
        return estimates.containsKey(program);
    }

    /** The estimated number of the program's prefix tokens that {@code runner} caches. */
    public double expectedTokens(ProgramKey program, String runner, long nowNs) {
        List<Estimate> programEstimates = estimates.get(program);
        if (programEstimates == null) {
            return 0;
        }
        for (Estimate estimate : programEstimates) {
            if (estimate.runner.equals(runner)) {
                return estimate.tokens * confidence(estimate, nowNs);
            }
        }
        return 0;
    }

    private double confidence(Estimate estimate, long nowNs) {
        double ageFactor = Math.pow(0.5, (nowNs - estimate.observedAtNs) / halfLifeNs);
        LastEvent lastEvent = lastEvents.get(estimate.runner);
        boolean observedBeforeGap =
                lastEvent != null && lastEvent.lastGapAtNs() > estimate.observedAtNs;
        return Double.isInfinite(halfLifeNs) || !observedBeforeGap
                ? ageFactor
                : ageFactor * CONFIDENCE_AFTER_GAP;
    }

    /** Runners that have an estimate for the program and may cache some of its prefix. */
    public List<String> holders(ProgramKey program) {
        List<Estimate> programEstimates = estimates.get(program);
        if (programEstimates == null) {
            return List.of();
        }
        List<String> runners = new ArrayList<>(programEstimates.size());
        for (Estimate estimate : programEstimates) {
            runners.add(estimate.runner);
        }
        return runners;
    }

    /** Removes all estimates for the program. */
    public void removeProgram(ProgramKey program) {
        estimates.remove(program);
    }

    /** Removes all estimates for a runner. */
    public void removeRunner(String runner) {
        lastEvents.remove(runner);
        for (List<Estimate> programEstimates : estimates.values()) {
            programEstimates.removeIf(estimate -> estimate.runner.equals(runner));
        }
    }
}
