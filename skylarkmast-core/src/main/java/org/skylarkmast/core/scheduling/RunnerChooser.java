package org.skylarkmast.core.scheduling;

import java.util.List;
import java.util.function.DoubleSupplier;
import org.skylarkmast.core.scheduling.routing.CostModel;
import org.skylarkmast.core.scheduling.routing.RunnerState;

/** Chooses the runner with the lowest cost for a call. */
final class RunnerChooser {
    private final SchedulerSettings settings;
    private final RunnerTable table;
    private final CacheTracker caches;
    private final CostModel costs;
    private final DoubleSupplier random;

    RunnerChooser(
            SchedulerSettings settings,
            RunnerTable table,
            CacheTracker caches,
            DoubleSupplier random) {
        this.settings = settings;
        this.table = table;
        this.caches = caches;
        this.random = random;
        costs = new CostModel(settings.isEnabled(Mechanism.EVICTION_PRICE));
    }

    /**
     * The cheapest runner that accepts calls, whether or not it has a free slot; the runner of the
     * last attempt only if no other accepts calls; null if there is none.
     */
    RunnerState choose(PendingCall call, double cacheWeight, long nowNs) {
        Search search = new Search(call, demand(call, cacheWeight), nowNs);
        List<RunnerState> runners = call.pool.runners();
        if (runners.size() <= SchedulerSettings.MAX_SCANNED_RUNNERS) {
            runners.forEach(search::consider);
        } else {
            for (String holder : caches.holders(call.submission.program())) {
                RunnerState runner = table.runner(holder);
                if (runner != null && call.pool.contains(runner)) {
                    search.consider(runner);
                }
            }
            for (int i = 0; i < settings.sampledRunners(); i++) {
                search.consider(runners.get((int) (random.getAsDouble() * runners.size())));
            }
        }
        return search.best != null ? search.best : search.previousRunner;
    }

    /** Sets the call's estimates for an attempt on {@code runner}. */
    void predict(PendingCall call, RunnerState runner, long nowNs) {
        CallSubmission submission = call.submission;
        double cachedTokens = caches.expectedTokens(submission.program(), runner.name(), nowNs);
        call.expectedUncachedTokens = Math.max(0, submission.promptTokens() - cachedTokens);
        call.expectedOutputTokens = call.pool.expectedOutputTokens(submission.maxOutputTokens());
        call.prefillTokensToFirstOutput =
                runner.outstandingPrefillTokens() + call.expectedUncachedTokens;
        call.predictedFirstOutputNs =
                call.isModelCall()
                        ? costs.firstOutputNs(runner, call.expectedUncachedTokens)
                        : costs.serviceCallCostNs(runner);
    }

    private CostModel.Demand demand(PendingCall call, double cacheWeight) {
        CallSubmission submission = call.submission;
        return new CostModel.Demand(
                submission.promptTokens(),
                call.pool.expectedOutputTokens(submission.maxOutputTokens()),
                cacheWeight,
                call.pool.meanPrefillTokenNs());
    }

    private final class Search {
        private final PendingCall call;
        private final CostModel.Demand demand;
        private final long nowNs;

        private RunnerState best;
        private RunnerState previousRunner;
        private double bestCost = Double.POSITIVE_INFINITY;

        private Search(PendingCall call, CostModel.Demand demand, long nowNs) {
            this.call = call;
            this.demand = demand;
            this.nowNs = nowNs;
        }

        private void consider(RunnerState runner) {
            if (!runner.accepts(nowNs)) {
                return;
            }
            if (runner == call.runner) {
                previousRunner = runner;
                return;
            }
            double cost = cost(runner);
            if (cost < bestCost) {
                bestCost = cost;
                best = runner;
            }
        }

        private double cost(RunnerState runner) {
            if (!call.isModelCall()) {
                return costs.serviceCallCostNs(runner);
            }
            double cachedTokens =
                    settings.isEnabled(Mechanism.PREFIX_AFFINITY)
                            ? caches.expectedTokens(call.submission.program(), runner.name(), nowNs)
                            : 0;
            return costs.modelCallCostNs(runner, demand, cachedTokens);
        }
    }
}
