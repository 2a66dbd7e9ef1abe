package org.skylarkmast.relay.runner;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Chooses the runner with the lowest expected completion time for a request.
 *
 * <p>The score covers these cases:
 *
 * <ul>
 *   <li>Light and moderate load: speed and cached prompt tokens decide.
 *   <li>Bursts: a runner without a free slot is charged queueing time in proportion to its queue.
 *   <li>Runners that fail some of their requests: the failure rate times the cost of a failure is
 *       added.
 *   <li>Machines that are slow at present: the delay until they are expected to recover is added.
 *   <li>Runners at their rate limit: the time until they accept another request is added.
 * </ul>
 *
 * <p>Many entry nodes share the same runners. Only runners that recently reported their load to
 * this node, the one with the most cached prompt tokens and two random ones are compared (power of
 * two choices): the load estimates for the rest are stale and the same on all entry nodes, which
 * would otherwise all choose the same runner.
 *
 * <p>Does no I/O and keeps no state.
 */
public final class RunnerChooser {

    /** Additional network round-trip time to a runner in another failure domain. */
    private static final double CROSS_DOMAIN_ROUND_TRIP_MS = 2;

    /**
     * Maximum relative random surcharge on a score, so that entry nodes with the same estimates do
     * not all choose the same runner.
     */
    private static final double SCORE_NOISE = 0.04;

    /**
     * Runners drawn at random for each choice. With more, all entry nodes would send to the runner
     * that has the lowest load in the stale estimates they share.
     */
    private static final int RANDOM_CANDIDATES = 2;

    private final String ownFailureDomain;
    private final DoubleSupplier random;

    /**
     * The properties of a request that affect the choice.
     *
     * @param units amount of work: output tokens of a stream, 1 otherwise
     * @param promptTokens length of the prompt, 0 if there is none
     * @param failureCostMs time that the caller loses if the runner fails the request
     * @param engine speed of the service's engines
     */
    public record RequestProfile(
            double units, int promptTokens, double failureCostMs, EngineSpeed engine) {}

    /**
     * @param random uniform in [0, 1)
     */
    public RunnerChooser(String ownFailureDomain, DoubleSupplier random) {
        this.ownFailureDomain = ownFailureDomain;
        this.random = random;
    }

    /** Returns the best of {@code candidates}, or null if there are none. */
    public RunnerCandidate choose(List<RunnerCandidate> candidates, RequestProfile request) {
        double meanMsPerUnit = meanMsPerUnit(candidates);
        RunnerCandidate best = null;
        double bestScore = 0;
        for (RunnerCandidate candidate : shortlist(candidates)) {
            double score = score(candidate, request, meanMsPerUnit);
            if (best == null || score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return best;
    }

    private List<RunnerCandidate> shortlist(List<RunnerCandidate> candidates) {
        List<RunnerCandidate> healthy =
                candidates.stream().filter(candidate -> !candidate.ejected()).toList();
        List<RunnerCandidate> eligible = healthy.isEmpty() ? candidates : healthy;
        Set<RunnerCandidate> shortlist = new LinkedHashSet<>();
        RunnerCandidate mostCached = null;
        for (RunnerCandidate candidate : eligible) {
            if (candidate.hasFreshLoad()) {
                shortlist.add(candidate);
            }
            if (mostCached == null || candidate.cachedTokens() > mostCached.cachedTokens()) {
                mostCached = candidate;
            }
        }
        if (mostCached != null && mostCached.cachedTokens() > 0) {
            shortlist.add(mostCached);
        }
        for (int i = 0; i < RANDOM_CANDIDATES && !eligible.isEmpty(); i++) {
            shortlist.add(eligible.get((int) (random.getAsDouble() * eligible.size())));
        }
        return List.copyOf(shortlist);
    }

    private double score(RunnerCandidate candidate, RequestProfile request, double meanMsPerUnit) {
        double msPerUnit = candidate.msPerUnit() == 0 ? meanMsPerUnit : candidate.msPerUnit();
        double workMs = msPerUnit * request.units();
        int slots = candidate.runner().slots();
        double slowdown =
                1 + request.engine().slowdownPerRequest() * Math.min(candidate.load(), slots);
        double queueMs =
                candidate.load() < slots
                        ? 0
                        : workMs * (candidate.load() - slots + 1) / slots + workMs / 2;
        int uncachedTokens = Math.max(0, request.promptTokens() - candidate.cachedTokens());
        // Prefill stalls decoding for every request in the batch.
        double batchSize = 1 + Math.min(candidate.load(), slots);
        double prefillMs = uncachedTokens / request.engine().prefillTokensPerMs() * batchSize;
        double networkMs =
                candidate.runner().failureDomain().equals(ownFailureDomain)
                        ? 0
                        : CROSS_DOMAIN_ROUND_TRIP_MS;
        double expectedFailureMs = candidate.failureRate() * request.failureCostMs();
        double atRunnerMs = workMs * slowdown + queueMs + prefillMs;
        double score =
                atRunnerMs
                        + candidate.slowness().delayMs(atRunnerMs)
                        + networkMs
                        + expectedFailureMs
                        + candidate.sendWaitMs();
        return score * (1 + SCORE_NOISE * random.getAsDouble());
    }

    /** Returns the time for a unit of work assumed of a runner without measurements, in ms. */
    static double meanMsPerUnit(List<RunnerCandidate> candidates) {
        double sum = 0;
        int known = 0;
        for (RunnerCandidate candidate : candidates) {
            if (candidate.msPerUnit() > 0) {
                sum += candidate.msPerUnit();
                known++;
            }
        }
        // A runner without measurements is rated 20% faster than the mean so that it gets tried.
        return known == 0 ? 1 : sum / known * 0.8;
    }
}
