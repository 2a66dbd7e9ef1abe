package org.skylarkmast.relay.runner;

import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * Chooses the runner with the least expected time for a request.
 *
 * <p>Answers light and moderate load, where speed and cached prompts decide, and bursts, where a
 * runner without a free slot counts as many times slower as it has requests waiting. Pure.
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

    private final String ownFailureDomain;
    private final DoubleSupplier random;

    /**
     * @param random uniform in [0, 1)
     */
    public RunnerChooser(String ownFailureDomain, DoubleSupplier random) {
        this.ownFailureDomain = ownFailureDomain;
        this.random = random;
    }

    /**
     * Chooses among {@code views}.
     *
     * @param units work of the request: output tokens of a stream, 1 otherwise
     * @param promptTokens length of the prompt, 0 if there is none
     * @param onlyFree whether runners without a believed free slot are left out
     * @return the choice, or null if none qualifies
     */
    public RunnerView choose(
            List<RunnerView> views, double units, int promptTokens, boolean onlyFree) {
        double knownMs = meanKnownMs(views);
        RunnerView best = null;
        double bestScore = 0;
        for (RunnerView view : views) {
            if (onlyFree && view.load() >= view.runner().slots()) {
                continue;
            }
            double score = score(view, units, promptTokens, knownMs);
            if (best == null || score < bestScore) {
                best = view;
                bestScore = score;
            }
        }
        return best;
    }

    private double score(RunnerView view, double units, int promptTokens, double knownMs) {
        double perUnitMs = view.msPerUnit() == 0 ? knownMs : view.msPerUnit();
        double workMs = perUnitMs * units;
        int slots = view.runner().slots();
        double slowdown = 1 + SLOWDOWN_PER_REQUEST * Math.min(view.load(), slots);
        double waitMs =
                view.load() < slots ? 0 : workMs * (view.load() - slots + 1) / slots + workMs / 2;
        double prefillMs = Math.max(0, promptTokens - view.cachedTokens()) / PREFILL_TOKENS_PER_MS;
        double wayMs = view.runner().failureDomain().equals(ownFailureDomain) ? 0 : OTHER_DOMAIN_MS;
        double score = workMs * slowdown + waitMs + prefillMs + wayMs;
        double noisy = score * (1 + SCORE_NOISE * random.getAsDouble());
        return view.avoided() ? noisy + 1e6 : noisy;
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
