package org.skylarkmast.relay.runner;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the choice of runners by many entry nodes that share their load reports, over runners of
 * uneven speed, some of which fail.
 *
 * <p>Results are compared with the same simulation without shared reports, or with a fixed bound;
 * each test states the load.
 */
class LoadReportSharingTest {
    private static final long[] SEEDS = {11, 23, 37, 59, 83};

    /** Light load, in requests per second; the runners can serve about 1,600. */
    private static final double LIGHT_PER_S = 80;

    /** Heavy load, in requests per second: 70% of what the runners can serve. */
    private static final double HEAVY_PER_S = 1120;

    private static FleetSimulation.Outcome simulate(
            long seed, double requestsPerS, boolean sharesReports, double failuresStartMs) {
        return new FleetSimulation(seed, requestsPerS, sharesReports, failuresStartMs).run();
    }

    /**
     * Guards against choosing slow runners at light load: a third of the runners is slow, and less
     * than a fifth of the requests may go there.
     */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {11, 23, 37, 59, 83})
    void mostRequestsGoToFastRunners(long seed) {
        FleetSimulation.Outcome unshared = simulate(seed, LIGHT_PER_S, false, Double.MAX_VALUE);
        FleetSimulation.Outcome shared = simulate(seed, LIGHT_PER_S, true, Double.MAX_VALUE);
        assertThat(shared.meanMs()).isLessThan(unshared.meanMs());
        assertThat(shared.slowFraction()).isLessThan(0.2);
    }

    /**
     * Guards against all entry nodes choosing the runner that the shared reports rate best: no
     * request may be rejected by a full runner, and the mean time in a queue stays below the time
     * that a slow runner takes for an answer.
     */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {11, 23, 37, 59, 83})
    void sharedReportsDoNotOverloadTheFastestRunner(long seed) {
        FleetSimulation.Outcome shared = simulate(seed, HEAVY_PER_S, true, Double.MAX_VALUE);
        assertThat(shared.refused()).isEqualTo(0);
        assertThat(shared.meanWaitMs())
                .isLessThan(FleetSimulation.TOKENS * FleetSimulation.SLOW_MS_PER_TOKEN);
    }

    /** Sharing the reports must at least halve the number of failed requests. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {11, 23, 37, 59, 83})
    void sharedReportsHalveRequestsToFailingRunners(long seed) {
        FleetSimulation.Outcome unshared = simulate(seed, LIGHT_PER_S, false, 8_000);
        FleetSimulation.Outcome shared = simulate(seed, LIGHT_PER_S, true, 8_000);
        assertThat(shared.failures()).isAtMost(unshared.failures() / 2);
    }

    /** Prints the outcomes for all seeds and loads; run by hand. */
    public static void main(String[] arguments) {
        for (long seed : SEEDS) {
            for (double requestsPerS : new double[] {LIGHT_PER_S, 400, HEAVY_PER_S}) {
                for (boolean sharesReports : new boolean[] {false, true}) {
                    System.out.printf(
                            "seed %d, %.0f/s, sharing %s: %s%n",
                            seed,
                            requestsPerS,
                            sharesReports,
                            simulate(seed, requestsPerS, sharesReports, 8_000));
                }
            }
        }
    }
}
