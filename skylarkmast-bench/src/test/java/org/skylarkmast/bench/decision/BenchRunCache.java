package org.skylarkmast.bench.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToDoubleFunction;

/** Results of the benchmark runs that the bounds are tested on; each run is made once. */
final class BenchRunCache {
    private static final Map<String, BenchRuns.Series> SERIES_BY_KEY = new ConcurrentHashMap<>();

    static final PolicyUnderTest ROUND_ROBIN =
            new PolicyUnderTest.Baseline(BaselinePolicy.RunnerSelection.ROUND_ROBIN);
    static final PolicyUnderTest LEAST_LOADED =
            new PolicyUnderTest.Baseline(BaselinePolicy.RunnerSelection.LEAST_LOADED);
    static final PolicyUnderTest PRODUCT = PolicyUnderTest.Product.withAllMechanisms();

    private BenchRunCache() {}

    static LoadProfile profile(String name) {
        return switch (name) {
            case "workshops" -> LoadProfile.workshops();
            case "consortium" -> LoadProfile.consortium();
            default -> throw new IllegalArgumentException(name);
        };
    }

    static BenchRuns.Series series(String profile, Fault.Kind fault, PolicyUnderTest policy) {
        return SERIES_BY_KEY.computeIfAbsent(
                profile + fault + policy.label(),
                key -> BenchRuns.run(profile(profile), fault, policy, BenchRuns.SEEDS));
    }

    static BenchRuns.Series steady(String profile, double loadFactor) {
        return SERIES_BY_KEY.computeIfAbsent(
                profile + loadFactor,
                key -> BenchRuns.runSteady(profile(profile), loadFactor, PRODUCT, BenchRuns.SEEDS));
    }

    /** The median over the seeds of the ratio of the baseline's value to the product's. */
    static double improvement(
            String profile,
            Fault.Kind fault,
            PolicyUnderTest baseline,
            ToDoubleFunction<RunResult> value) {
        List<RunResult> baselineResults = series(profile, fault, baseline).results();
        List<RunResult> productResults = series(profile, fault, PRODUCT).results();
        List<Double> ratios = new ArrayList<>();
        for (int i = 0; i < baselineResults.size(); i++) {
            ratios.add(
                    value.applyAsDouble(baselineResults.get(i))
                            / value.applyAsDouble(productResults.get(i)));
        }
        Collections.sort(ratios);
        return ratios.get(ratios.size() / 2);
    }
}
