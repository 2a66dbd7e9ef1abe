package org.skylarkmast.relay.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the attribution; requests are letters, "!" marks one that the runner had just begun. */
class CrashAttributionTest {

    /** Crashes in order of time, one a second, the last one now. */
    private static List<CrashReport> crashesOf(String... suspectsOfCrashes) {
        List<CrashReport> crashes = new ArrayList<>();
        for (int i = 0; i < suspectsOfCrashes.length; i++) {
            List<Suspect> suspects = new ArrayList<>();
            for (String name : suspectsOfCrashes[i].split(" ", -1)) {
                if (!name.isEmpty()) {
                    suspects.add(
                            new Suspect(
                                    new RequestFingerprint(0, name.charAt(0)),
                                    name.endsWith("!") ? 5 : 700));
                }
            }
            crashes.add(
                    new CrashReport(
                            "r/" + i, suspects, 1000L * (suspectsOfCrashes.length - 1 - i)));
        }
        return crashes;
    }

    private static Map<String, Integer> blamedCrashes(List<CrashReport> crashes) {
        Map<String, Integer> blamed = new TreeMap<>();
        CrashAttribution.blamed(crashes)
                .forEach(
                        blame ->
                                blamed.put(
                                        String.valueOf((char) blame.fingerprint().low()),
                                        blame.crashes()));
        return blamed;
    }

    static Stream<Arguments> crashes() {
        return Stream.of(
                Arguments.of("none", crashesOf(), Map.of()),
                Arguments.of("a single crash", crashesOf("d! a b"), Map.of()),
                Arguments.of("different suspects", crashesOf("d! a", "b", "c!"), Map.of()),
                Arguments.of("alone at two", crashesOf("d! a", "d! b"), Map.of("d", 2)),
                Arguments.of("at two, in a queue at one", crashesOf("d! a", "d b"), Map.of()),
                Arguments.of("two that were begun at both", crashesOf("d! e!", "d! e!"), Map.of()),
                Arguments.of(
                        "begun at both, one beside it", crashesOf("d! e", "d! e!"), Map.of("d", 2)),
                Arguments.of("alone at three", crashesOf("d a", "d b", "d a"), Map.of("d", 3)),
                Arguments.of(
                        "tied at three", crashesOf("d a", "d a", "d a"), Map.of("a", 3, "d", 3)),
                Arguments.of(
                        "beside it at fewer",
                        crashesOf("d a", "d a!", "d a!", "d"),
                        Map.of("d", 4)),
                Arguments.of(
                        "beside two of them at different crashes",
                        crashesOf("d! a!", "d!", "d!", "e! a!", "e!", "e!"),
                        Map.of("d", 3, "e", 3)),
                Arguments.of(
                        "two at few unexplained crashes",
                        crashesOf("a", "b", "d! a", "d! c"),
                        Map.of("d", 2)),
                Arguments.of(
                        "two at many unexplained crashes",
                        crashesOf("a", "b", "", "d! f", "d! c"),
                        Map.of()),
                Arguments.of(
                        "unexplained crashes since",
                        crashesOf("d! a", "d! c", "f", "", "b"),
                        Map.of("d", 2)),
                Arguments.of(
                        "three at many unexplained crashes, begun at once",
                        crashesOf("a", "d!", "b", "", "d!", "f", "", "d! c"),
                        Map.of("d", 3)),
                Arguments.of(
                        "three at many unexplained crashes, in queues",
                        crashesOf("a", "d", "b", "", "d", "f", "", "d c"),
                        Map.of()),
                Arguments.of(
                        "four at many unexplained crashes",
                        crashesOf("a", "d", "b", "", "d", "f", "", "d c", "d"),
                        Map.of("d", 4)),
                Arguments.of(
                        "several that share one crash",
                        crashesOf("d", "d e", "d", "e", "e"),
                        Map.of("d", 3, "e", 3)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("crashes")
    void blamesTheRequestThatExplainsMostCrashes(
            String name, List<CrashReport> crashes, Map<String, Integer> expected) {
        Random random = new Random(11);
        for (int i = 0; i < 20; i++) {
            List<CrashReport> shuffled = new ArrayList<>();
            for (CrashReport crash : crashes) {
                List<Suspect> suspects = new ArrayList<>(crash.suspects());
                Collections.shuffle(suspects, random);
                shuffled.add(new CrashReport(crash.incarnation(), suspects, crash.ageMs()));
            }
            Collections.shuffle(shuffled, random);
            assertThat(blamedCrashes(shuffled)).isEqualTo(expected);
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("crashes")
    void tellsTheAgeOfTheLastCrash(String name, List<CrashReport> crashes) {
        for (Blame blame : CrashAttribution.blamed(crashes)) {
            long expectedMs =
                    crashes.stream()
                            .filter(
                                    crash ->
                                            crash.suspects().stream()
                                                    .map(Suspect::fingerprint)
                                                    .anyMatch(blame.fingerprint()::equals))
                            .mapToLong(CrashReport::ageMs)
                            .min()
                            .orElseThrow();
            assertThat(blame.newestAgeMs()).isEqualTo(expectedMs);
        }
    }
}
