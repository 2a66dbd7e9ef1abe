package org.skylarkmast.bench.decision;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Runs a policy once for each of several seeds. */
final class BenchRuns {

    /** Seeds for which the bounds are stated; the same for all policies. */
    static final List<Long> SEEDS = List.of(11L, 23L, 37L, 59L, 83L);

    private BenchRuns() {}

    /** The results of one policy under one load, one per seed. */
    record Series(
            String profile,
            Fault.Kind fault,
            double loadFactor,
            String policy,
            List<Long> seeds,
            List<RunResult> results) {

        /** The median over the seeds; the upper one for an even number of seeds. */
        double median(ToDoubleFunction<RunResult> value) {
            List<Double> sorted =
                    results.stream()
                            .map(value::applyAsDouble)
                            .sorted(Comparator.naturalOrder())
                            .toList();
            return sorted.get(sorted.size() / 2);
        }
    }

    /** Runs {@code policy} with the profile's own load and burst. */
    static Series run(
            LoadProfile profile, Fault.Kind fault, PolicyUnderTest policy, List<Long> seeds) {
        return run(profile, fault, 1, policy, seeds);
    }

    /** Runs {@code policy} with {@code loadFactor} times the profile's load, without a burst. */
    static Series runSteady(
            LoadProfile profile, double loadFactor, PolicyUnderTest policy, List<Long> seeds) {
        return run(profile.steady(loadFactor), Fault.Kind.NONE, loadFactor, policy, seeds);
    }

    private static Series run(
            LoadProfile profile,
            Fault.Kind fault,
            double loadFactor,
            PolicyUnderTest policy,
            List<Long> seeds) {
        List<RunResult> results =
                seeds.parallelStream()
                        .map(
                                seed ->
                                        new Simulation(profile, fault, seed, policy.factory(seed))
                                                .run())
                        .toList();
        return new Series(profile.name(), fault, loadFactor, policy.label(), seeds, results);
    }
}
