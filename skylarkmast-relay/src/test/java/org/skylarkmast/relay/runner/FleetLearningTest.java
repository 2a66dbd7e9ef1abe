package org.skylarkmast.relay.runner;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What callers get where many entry nodes share runners of uneven speed, of which some fail.
 *
 * <p>Bounds hold against the same nodes without shared statistics, or against the fastest that the
 * fleet could be; each case says which load it plays.
 */
class FleetLearningTest {
    private static final long[] SEEDS = {11, 23, 37, 59, 83};

    /** Light load: 80 requests a second, of some 1,600 that the fleet could serve. */
    private static final double LIGHT_PER_S = 80;

    /** Heavy load: seven tenths of what the fleet could serve. */
    private static final double HEAVY_PER_S = 1120;

    private static FleetLoad.Outcome play(long seed, double perS, boolean told, double failFromMs) {
        return new FleetLoad(seed, perS, told, failFromMs).play();
    }

    /** A third of the runners is slow; less than a fifth of the requests may go there. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {11, 23, 37, 59, 83})
    void callersMostlyGetFastRunners(long seed) {
        FleetLoad.Outcome alone = play(seed, LIGHT_PER_S, false, Double.MAX_VALUE);
        FleetLoad.Outcome together = play(seed, LIGHT_PER_S, true, Double.MAX_VALUE);
        assertThat(together.meanMs()).isLessThan(alone.meanMs());
        assertThat(together.slowShare()).isLessThan(0.2);
    }

    /** No request may be refused for lack of room, or queue for longer than a slow answer takes. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {11, 23, 37, 59, 83})
    void noRunnerIsOverrunThoughAllKnowWhichIsBest(long seed) {
        FleetLoad.Outcome together = play(seed, HEAVY_PER_S, true, Double.MAX_VALUE);
        assertThat(together.refused()).isEqualTo(0);
        assertThat(together.meanWaitMs())
                .isLessThan(FleetLoad.TOKENS * FleetLoad.SLOW_MS_PER_TOKEN);
    }

    /** Sharing must halve the requests that meet a failing runner. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {11, 23, 37, 59, 83})
    void fewCallersMeetAFailingRunner(long seed) {
        FleetLoad.Outcome alone = play(seed, LIGHT_PER_S, false, 8_000);
        FleetLoad.Outcome together = play(seed, LIGHT_PER_S, true, 8_000);
        assertThat(together.failures()).isAtMost(alone.failures() / 2);
    }

    /** Prints the outcomes of the cases; run by hand. */
    public static void main(String[] arguments) {
        for (long seed : SEEDS) {
            for (double perS : new double[] {LIGHT_PER_S, 400, HEAVY_PER_S}) {
                for (boolean told : new boolean[] {false, true}) {
                    System.out.printf(
                            "seed %d, %.0f/s, told %s: %s%n",
                            seed, perS, told, play(seed, perS, told, 8_000));
                }
            }
        }
    }
}
