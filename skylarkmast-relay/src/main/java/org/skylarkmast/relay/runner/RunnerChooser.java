package org.skylarkmast.relay.runner;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Chooses the runner with the least expected time for a request.
 *
 * <p>Answers light and moderate load, where speed and cached prompts decide; bursts, where a runner
 * without a free slot counts as many times slower as it has requests waiting; runners that fail
 * part of their requests, which count as slower by what a failure costs; and many entry nodes over
 * the same runners: beside runners with a fresh load report to this node, a choice only compares
 * two random ones (power of two choices), as all nodes share the same stale loads of the rest and
 * would choose the same one. Pure.
 */
public final class RunnerChooser {

    /** Prompt tokens an engine reads in a ms; the users' sheets say 64.8. */
    private static final double PREFILL_TOKENS_PER_MS = 60;

    /** Slowdown of each request by another one in the same batch. */
    private static final double SLOWDOWN_PER_REQUEST = 0.02;

    /** Extra time of a runner in another failure domain: the way there and back, in ms. */
    private static final double OTHER_DOMAIN_MS = 2;

    /** Random part of a score, so that hosts that see the same do not all choose the same. */
    private static final double SCORE_NOISE = 0.04;

    /**
     * Random candidates of each choice. With more, all entry nodes would herd on the runner that
     * looks best in the stale loads they share.
     */
    private static final int DRAWN = 2;

    private final String ownFailureDomain;
    private final DoubleSupplier random;

    /**
     * A request to place.
     *
     * @param units work: output tokens of a stream, 1 otherwise
     * @param promptTokens length of the prompt, 0 if there is none
     * @param failureCostMs time that a failure costs its caller
     */
    public record Work(double units, int promptTokens, double failureCostMs) {}

    /**
     * @param random uniform in [0, 1)
     */
    public RunnerChooser(String ownFailureDomain, DoubleSupplier random) {
        this.ownFailureDomain = ownFailureDomain;
        this.random = random;
    }

    /** Chooses among {@code views}; null if there are none. */
    public RunnerView choose(List<RunnerView> views, Work work) {
        double knownMs = meanKnownMs(views);
        RunnerView best = null;
        double bestScore = 0;
        for (RunnerView view : candidates(views)) {
            double score = score(view, work, knownMs);
            if (best == null || score < bestScore) {
                best = view;
                bestScore = score;
            }
        }
        return best;
    }

    private List<RunnerView> candidates(List<RunnerView> views) {
        List<RunnerView> sound = views.stream().filter(view -> !view.avoided()).toList();
        List<RunnerView> all = sound.isEmpty() ? views : sound;
        Set<RunnerView> candidates = new LinkedHashSet<>();
        RunnerView warmest = null;
        for (RunnerView view : all) {
            if (view.loadIsOwn()) {
                candidates.add(view);
            }
            if (warmest == null || view.cachedTokens() > warmest.cachedTokens()) {
                warmest = view;
            }
        }
        if (warmest != null && warmest.cachedTokens() > 0) {
            candidates.add(warmest);
        }
        for (int i = 0; i < DRAWN && !all.isEmpty(); i++) {
            candidates.add(all.get((int) (random.getAsDouble() * all.size())));
        }
        return List.copyOf(candidates);
    }

    private double score(RunnerView view, Work work, double knownMs) {
        double perUnitMs = view.msPerUnit() == 0 ? knownMs : view.msPerUnit();
        double workMs = perUnitMs * work.units();
        int slots = view.runner().slots();
        double slowdown = 1 + SLOWDOWN_PER_REQUEST * Math.min(view.load(), slots);
        double waitMs =
                view.load() < slots ? 0 : workMs * (view.load() - slots + 1) / slots + workMs / 2;
        int coldTokens = Math.max(0, work.promptTokens() - view.cachedTokens());
        // Prefill stalls the decoding of every request in the batch.
        double batch = 1 + Math.min(view.load(), slots);
        double prefillMs = coldTokens / PREFILL_TOKENS_PER_MS * batch;
        double wayMs = view.runner().failureDomain().equals(ownFailureDomain) ? 0 : OTHER_DOMAIN_MS;
        double failureMs = view.failureShare() * work.failureCostMs();
        double score = workMs * slowdown + waitMs + prefillMs + wayMs + failureMs;
        return score * (1 + SCORE_NOISE * random.getAsDouble());
    }

    private static double meanKnownMs(List<RunnerView> views) {
        double sum = 0;
        int known = 0;
        for (RunnerView view : views) {
            if (view.msPerUnit() > 0) {
                sum += view.msPerUnit();
                known++;
            }
        }
        // Unknown runners look a little faster than the mean, so that each is tried.
        return known == 0 ? 1 : sum / known * 0.8;
    }
}
