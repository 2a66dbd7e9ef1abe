package org.skylarkmast.bench.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToDoubleFunction;

/** Results of the bounds' runs, each run made once. */
final class BenchBounds {
    private static final Map<String, BenchRuns.Series> SERIES = new ConcurrentHashMap<>();

    static final Policy ROUND_ROBIN = new Policy.Baseline(BaselinePolicy.Choice.ROUND_ROBIN);
    static final Policy LEAST_LOADED = new Policy.Baseline(BaselinePolicy.Choice.LEAST_LOADED);
    static final Policy PRODUCT = Policy.Product.whole();

    private BenchBounds() {}

    static LoadProfile profile(String name) {
        return switch (name) {
            case "workshops" -> LoadProfile.workshops();
            case "consortium" -> LoadProfile.consortium();
            default -> throw new IllegalArgumentException(name);
        };
    }

    static BenchRuns.Series series(String profile, Fault.Kind fault, Policy policy) {
        return SERIES.computeIfAbsent(
                profile + fault + policy.label(),
                key -> BenchRuns.run(profile(profile), fault, policy, BenchRuns.SEEDS));
    }

    static BenchRuns.Series steady(String profile, double loadFactor) {
        return SERIES.computeIfAbsent(
                profile + loadFactor,
                key -> BenchRuns.runSteady(profile(profile), loadFactor, PRODUCT, BenchRuns.SEEDS));
    }

    /** The median over the seeds of how many times less the product has than {@code baseline}. */
    static double improvement(
            String profile, Fault.Kind fault, Policy baseline, ToDoubleFunction<RunResult> value) {
        List<RunResult> before = series(profile, fault, baseline).results();
        List<RunResult> after = series(profile, fault, PRODUCT).results();
        List<Double> ratios = new ArrayList<>();
        for (int i = 0; i < before.size(); i++) {
            ratios.add(value.applyAsDouble(before.get(i)) / value.applyAsDouble(after.get(i)));
        }
        Collections.sort(ratios);
        return ratios.get(ratios.size() / 2);
    }
}
