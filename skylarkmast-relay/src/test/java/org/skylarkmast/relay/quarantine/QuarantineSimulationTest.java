package org.skylarkmast.relay.quarantine;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests what several nodes achieve together, with the reports as they travel. */
class QuarantineSimulationTest {
    private static final long[] SEEDS = {11, 23, 37};
    private static final double END_MS = 240_000;

    /** Sends that are allowed later than 3 s after the end of the third runner. */
    private static final int MAX_LATE_SENDS = 3;

    /** The first period with its jitter; an innocent request must be admitted after it. */
    private static final double MAX_REFUSAL_MS = 2 * Quarantine.BASE_PERIOD_MS;

    private static QuarantineSimulation run(
            String name, QuarantineSimulation.Scenario scenario, long seed) {
        QuarantineSimulation simulation = new QuarantineSimulation(scenario, seed);
        simulation.run();
        System.out.printf(
                "%s, seed %d: deadly %s, %d other crashes, refused innocents %s (at most %d ms),"
                        + " reports of at most %d bytes%n",
                name,
                seed,
                simulation.deadly.values(),
                simulation.otherCrashes,
                simulation.refusals,
                simulation.longestRefusalMs,
                simulation.maxReportBytes);
        return simulation;
    }

    static Stream<Arguments> deadlyRequests() {
        List<Arguments> cases = new ArrayList<>();
        for (long seed : SEEDS) {
            cases.add(deadly("runners with free slots", seed, 24, 0.5, 3, 1000, 0));
            cases.add(deadly("busy runners", seed, 24, 0.85, 3, 1000, 0));
            cases.add(deadly("few runners", seed, 8, 0.5, 2, 1000, 0));
            cases.add(deadly("frequent", seed, 24, 0.5, 3, 300, 0));
            cases.add(deadly("rare", seed, 24, 0.5, 3, 15_000, 0));
            cases.add(deadly("some other crashes", seed, 24, 0.5, 3, 1000, 20_000));
            cases.add(deadly("many other crashes", seed, 24, 0.5, 3, 1000, 3000));
            cases.add(deadly("many other crashes, busy", seed, 24, 0.85, 3, 1000, 3000));
            cases.add(deadly("many other crashes, rare", seed, 24, 0.5, 3, 15_000, 3000));
        }
        return cases.stream();
    }

    private static Arguments deadly(
            String name,
            long seed,
            int runners,
            double load,
            int deadly,
            double deadlyGapMs,
            double otherCrashGapMs) {
        return Arguments.of(
                name,
                seed,
                new QuarantineSimulation.Scenario(
                        runners, load, deadly, deadlyGapMs, otherCrashGapMs, END_MS));
    }

    @ParameterizedTest(name = "{0}, seed {1}")
    @MethodSource("deadlyRequests")
    void deadlyRequestStopsAfterItsThirdRunner(
            String name, long seed, QuarantineSimulation.Scenario scenario) {
        QuarantineSimulation simulation = run(name, scenario, seed);
        simulation.deadly.forEach(
                (fingerprint, deadly) ->
                        assertWithMessage("%s: %s", fingerprint, deadly)
                                .that(deadly.lateSends)
                                .isAtMost(MAX_LATE_SENDS));
        simulation.refusals.forEach(
                (fingerprint, refusals) -> {
                    assertWithMessage("%s refused %s", fingerprint, refusals)
                            .that(refusals.lastMs - refusals.firstMs)
                            .isAtMost(MAX_REFUSAL_MS);
                    assertWithMessage("admitted %s", fingerprint)
                            .that(simulation.isAdmittedAfter(fingerprint, MAX_REFUSAL_MS))
                            .isTrue();
                });
    }

    static Stream<Arguments> otherCrashes() {
        List<Arguments> cases = new ArrayList<>();
        for (long seed : SEEDS) {
            for (int runners : new int[] {8, 24, 60}) {
                for (double load : new double[] {0.5, 0.85}) {
                    cases.add(Arguments.of(seed, runners, load));
                }
            }
        }
        return cases.stream();
    }

    @ParameterizedTest(name = "seed {0}, {1} runners, load {2}")
    @MethodSource("otherCrashes")
    void crashesThatNoRequestCausesQuarantineNone(long seed, int runners, double load) {
        QuarantineSimulation simulation =
                run(
                        "no deadly request, " + runners + " runners, load " + load,
                        new QuarantineSimulation.Scenario(runners, load, 0, 0, 3000, END_MS),
                        seed);
        assertWithMessage("refused innocents").that(simulation.refusals).isEmpty();
    }
}
