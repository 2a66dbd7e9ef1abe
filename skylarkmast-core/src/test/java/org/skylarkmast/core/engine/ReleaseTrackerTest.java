package org.skylarkmast.core.engine;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.core.engine.ReleaseTracker.Release;
import org.skylarkmast.core.key.ProgramKey;

class ReleaseTrackerTest {
    private static final ProgramKey PROGRAM = new ProgramKey("ws", "p");
    private static final Release RELEASE = new Release("e1", PROGRAM);

    private final ReleaseTracker tracker = new ReleaseTracker();

    @Test
    void retriesAReleaseWithDoublingDelaysUntilItIsConfirmed() {
        tracker.request(RELEASE, 0);
        assertThat(tracker.takeDue(0)).containsExactly(RELEASE);
        assertThat(tracker.takeDue(ms(199))).isEmpty();
        assertThat(tracker.takeDue(ms(200))).containsExactly(RELEASE);
        assertThat(tracker.takeDue(ms(599))).isEmpty();
        assertThat(tracker.takeDue(ms(600))).containsExactly(RELEASE);
        assertThat(tracker.remove(RELEASE)).isTrue();
        assertThat(tracker.takeDue(ms(100_000))).isEmpty();
    }

    @Test
    void removeAllRemovesOnlyTheReleasesOfTheGivenRunner() {
        Release other = new Release("e2", PROGRAM);
        tracker.request(RELEASE, 0);
        tracker.request(other, 0);
        assertThat(tracker.removeAll("e1")).containsExactly(RELEASE);
        assertThat(tracker.takeDue(0)).containsExactly(other);
    }

    static Stream<Arguments> livenessPairs() {
        return Stream.of(
                Arguments.of(ProgramLiveness.GONE, ProgramLiveness.GONE, true),
                Arguments.of(ProgramLiveness.GONE, ProgramLiveness.LIVE, false),
                Arguments.of(ProgramLiveness.LIVE, ProgramLiveness.GONE, false),
                Arguments.of(ProgramLiveness.NOT_OWNED, ProgramLiveness.GONE, false),
                Arguments.of(ProgramLiveness.NOT_OWNED, ProgramLiveness.NOT_OWNED, false));
    }

    @ParameterizedTest(name = "{0}, then {1}: orphaned {2}")
    @MethodSource("livenessPairs")
    void cacheIsOrphanedIfItsProgramIsGoneInTwoConsecutiveChecks(
            ProgramLiveness first, ProgramLiveness second, boolean orphaned) {
        OrphanedCacheDetector detector = new OrphanedCacheDetector();
        assertThat(detector.findOrphaned("e1", Set.of(PROGRAM), key -> first)).isEmpty();
        assertThat(detector.findOrphaned("e2", Set.of(PROGRAM), key -> second)).isEmpty();
        assertThat(detector.findOrphaned("e1", Set.of(PROGRAM), key -> second).contains(PROGRAM))
                .isEqualTo(orphaned);
    }

    @Test
    void cursorRestartsAfterARunnerRestart() {
        FeedCursor cursor = new FeedCursor();
        assertThat(cursor.onStartTime(10)).isFalse();
        assertThat(cursor.onEvent(7)).isTrue();
        assertThat(cursor.onEvent(7)).isFalse();
        assertThat(cursor.onStartTime(10)).isFalse();
        assertThat(cursor.onStartTime(11)).isTrue();
        assertThat(cursor.lastSequence()).isEqualTo(0);
        assertThat(cursor.onEvent(1)).isTrue();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "engine_requests_running 3, true",
        "engine_requests_running{role=\"mixed\"} 3, true",
        "engine_requests_running x, false",
        "engine_requests_other 3, false"
    })
    void parsesLoadReportOnlyIfRequiredMetricsAreValid(String running, boolean complete) {
        String text =
                "# HELP x\n"
                        + running
                        + "\nengine_requests_waiting 1\nengine_start_time_seconds 1.5\n";
        assertThat(LoadReport.parse(text))
                .isEqualTo(
                        complete
                                ? Optional.of(new LoadReport(3, 1, 0, 0, 1_500))
                                : Optional.empty());
    }

    @Test
    void ignoresLoadReportThatTheConnectionCutOff() {
        String text =
                "engine_requests_waiting 1\nengine_start_time_seconds 1.5\n"
                        + "engine_requests_running 1";
        assertThat(LoadReport.parse(text)).isEmpty();
    }

    private static long ms(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}
