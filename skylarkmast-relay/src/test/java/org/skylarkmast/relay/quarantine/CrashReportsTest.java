package org.skylarkmast.relay.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class CrashReportsTest {
    private static final RequestFingerprint D = new RequestFingerprint(0, 'd');
    private static final RequestFingerprint E = new RequestFingerprint(0, 'e');

    private long nowMs = 1_000_000;

    private CrashReports reports() {
        return new CrashReports(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    private static QuarantineReport crash(String incarnation, long ageMs, Suspect... suspects) {
        return new QuarantineReport(
                List.of(new CrashReport(incarnation, List.of(suspects), ageMs)), List.of());
    }

    private static QuarantineReport completion(RequestFingerprint fingerprint, long ageMs) {
        return new QuarantineReport(List.of(), List.of(new CompletionReport(fingerprint, ageMs)));
    }

    private static Suspect suspect(RequestFingerprint fingerprint) {
        return new Suspect(fingerprint, 5);
    }

    private static List<CrashReport> sortedCrashes(CrashReports reports) {
        List<CrashReport> crashes = new ArrayList<>(reports.current().crashes());
        crashes.sort(Comparator.comparing(CrashReport::incarnation));
        return crashes;
    }

    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {11, 23, 37, 59, 83})
    void orderAndRepetitionDoNotMatter(long seed) {
        List<QuarantineReport> received =
                List.of(
                        crash("r/1", 30_000, suspect(D)),
                        crash("r/1", 29_600, suspect(E), new Suspect(D, 300)),
                        crash("r/2", 900, suspect(D), suspect(E)),
                        crash("r/3", 700),
                        completion(E, 20_000),
                        completion(E, 25_000));
        List<QuarantineReport> shuffled = new ArrayList<>(received);
        shuffled.addAll(received);
        Collections.shuffle(shuffled, new Random(seed));
        CrashReports reports = reports();
        shuffled.forEach(reports::merge);
        assertThat(sortedCrashes(reports))
                .containsExactly(
                        new CrashReport("r/1", List.of(suspect(D)), 30_000),
                        new CrashReport("r/2", List.of(suspect(D), suspect(E)), 900),
                        new CrashReport("r/3", List.of(), 700))
                .inOrder();
    }

    @ParameterizedTest(name = "completed {0} ms ago")
    @CsvSource({"0, true", "4000, true", "14000, true", "16000, false"})
    void completionClearsCrashesBeforeAndShortlyAfter(long completionAgeMs, boolean cleared) {
        CrashReports reports = reports();
        reports.merge(completion(D, completionAgeMs));
        reports.merge(crash("r/1", 5000, suspect(D)));
        assertThat(sortedCrashes(reports).getFirst().suspects().isEmpty()).isEqualTo(cleared);
    }

    static Stream<Arguments> retentions() {
        return Stream.of(
                Arguments.of("one crash", List.of("r/1"), CrashReports.RETENTION_MS),
                Arguments.of(
                        "repeated", List.of("r/1", "r/2"), CrashReports.REPEATED_RETENTION_MS));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("retentions")
    void crashesExpire(String name, List<String> incarnations, long retentionMs) {
        CrashReports reports = reports();
        incarnations.forEach(incarnation -> reports.merge(crash(incarnation, 0, suspect(D))));
        nowMs += retentionMs;
        assertThat(reports.current().crashes()).hasSize(incarnations.size());
        nowMs += 1;
        assertThat(reports.current().crashes()).isEmpty();
    }

    @Test
    void onlyRepeatedSuspectsAreKeptLonger() {
        CrashReports reports = reports();
        reports.merge(crash("r/1", 0, suspect(D), suspect(E)));
        reports.merge(crash("r/2", 0, suspect(D)));
        nowMs += CrashReports.RETENTION_MS + 1;
        assertThat(sortedCrashes(reports).getFirst().suspects()).containsExactly(suspect(D));
    }

    /** An age lacks the time on the way, so a node must not take its own report for news. */
    @ParameterizedTest(name = "{0} ms on the way")
    @ValueSource(longs = {5, 250, 600, 900})
    void reportsThatNodesSendEachOtherExpire(long delayMs) {
        CrashReports a = reports();
        CrashReports b = reports();
        a.merge(crash("r/1", 0, suspect(D)));
        a.merge(completion(E, 0));
        long endMs = nowMs + CrashReports.RETENTION_MS + 5_000;
        while (nowMs < endMs) {
            QuarantineReport fromA = a.current();
            nowMs += delayMs;
            b.merge(fromA);
            QuarantineReport fromB = b.current();
            nowMs += delayMs;
            a.merge(fromB);
            nowMs += Math.max(0, 1000 - 2 * delayMs);
        }
        assertThat(a.current()).isEqualTo(QuarantineReport.EMPTY);
    }

    private static List<Suspect> suspects(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Suspect(new RequestFingerprint(1, i), i))
                .toList();
    }

    @Test
    void dropsTheOldestCrashesAboveTheBound() {
        CrashReports reports = reports();
        int count = CrashReports.MAX_CRASHES + 10;
        for (int i = 0; i < count; i++) {
            reports.merge(crash("r/" + i, count - i));
        }
        assertThat(
                        reports.current().crashes().stream()
                                .mapToLong(CrashReport::ageMs)
                                .sorted()
                                .boxed()
                                .toList())
                .isEqualTo(LongStream.rangeClosed(1, CrashReports.MAX_CRASHES).boxed().toList());
    }

    @Test
    void dropsTheSuspectsThatWereHeldLongestAboveTheBound() {
        CrashReports reports = reports();
        List<Suspect> suspects = suspects(CrashReports.MAX_SUSPECTS + 10);
        reports.merge(crash("r/1", 0, suspects.toArray(Suspect[]::new)));
        assertThat(sortedCrashes(reports).getFirst().suspects())
                .isEqualTo(suspects.subList(0, CrashReports.MAX_SUSPECTS));
    }

    @Test
    void dropsTheOldestCompletionsAboveTheBound() {
        CrashReports reports = reports();
        int count = CrashReports.MAX_COMPLETIONS + 10;
        reports.merge(
                new QuarantineReport(
                        List.of(),
                        IntStream.range(0, count)
                                .mapToObj(
                                        i -> new CompletionReport(new RequestFingerprint(1, i), i))
                                .toList()));
        List<CompletionReport> kept = reports.current().completions();
        assertThat(kept).hasSize(CrashReports.MAX_COMPLETIONS);
        kept.forEach(
                completion ->
                        assertThat(completion.ageMs()).isLessThan(CrashReports.MAX_COMPLETIONS));
    }
}
