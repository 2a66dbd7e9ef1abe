package org.skylarkmast.relay.runner;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Which runners are in use, by who said that one is leaving and what its registration says. */
class RunnerDirectoryTest {
    private static final long STARTED_AT_MS = 1000;

    private long nowMs;
    private final RunnerDirectory directory =
            new RunnerDirectory(
                    () -> TimeUnit.MILLISECONDS.toNanos(nowMs), new PrometheusRegistry());

    /** What happens to the registration after the runner said that it is leaving. */
    private enum Registration {
        STAYS,
        CHANGES,
        LAPSES_AND_RETURNS,
        LOSES_ITS_START_TIME,
        IS_REPLACED_BY_A_NEW_INCARNATION
    }

    private static Runner runner(int slots, boolean draining, long startedAtMs) {
        return new Runner("r", "s", "10.0.0.1:1", "d", slots, "v1", draining, startedAtMs);
    }

    static List<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (LeavingSource source : LeavingSource.values()) {
            for (Registration registration : Registration.values()) {
                for (long ageMs : new long[] {0, 4000, 60_000}) {
                    cases.add(Arguments.of(source, registration, ageMs));
                }
            }
        }
        return cases;
    }

    @ParameterizedTest(name = "{0}, registration {1}, after {2} ms")
    @MethodSource("cases")
    void leavingRunnerIsNotUsedWhateverItsRegistrationSays(
            LeavingSource source, Registration registration, long ageMs) {
        boolean registered = source == LeavingSource.REGISTRATION;
        directory.put(runner(4, registered, STARTED_AT_MS));
        if (!registered) {
            directory.recordLeaving("r", STARTED_AT_MS, source, "q");
        }
        passTime(ageMs);
        switch (registration) {
            case STAYS -> {}
            case CHANGES -> directory.put(runner(8, registered, STARTED_AT_MS));
            case LAPSES_AND_RETURNS -> {
                directory.remove("r");
                passTime(ageMs);
                directory.put(runner(4, registered, STARTED_AT_MS));
            }
            case LOSES_ITS_START_TIME -> directory.put(runner(4, registered, 0));
            case IS_REPLACED_BY_A_NEW_INCARNATION ->
                    directory.put(runner(4, false, STARTED_AT_MS + 1));
        }
        boolean isNew = registration == Registration.IS_REPLACED_BY_A_NEW_INCARNATION;
        assertThat(directory.available("s")).hasSize(isNew ? 1 : 0);
        assertThat(directory.isAvailable("r/" + (STARTED_AT_MS + 1))).isEqualTo(isNew);
        assertThat(directory.isAvailable("r/" + STARTED_AT_MS)).isFalse();
        assertThat(directory.all()).hasSize(1);
    }

    @ParameterizedTest(name = "registered {0}")
    @MethodSource("lifetimes")
    void leavingRunnersAreForgottenOnceTheyAreGoneForGood(boolean registered, int remembered) {
        directory.put(runner(4, false, STARTED_AT_MS));
        directory.recordLeaving("r", STARTED_AT_MS, LeavingSource.ANSWER, "q");
        directory.recordLeaving("r", STARTED_AT_MS, LeavingSource.PEER, "q");
        if (!registered) {
            directory.remove("r");
        }
        passTime(TimeUnit.MINUTES.toMillis(20));
        assertThat(directory.leavingCount()).isEqualTo(remembered);
    }

    static List<Arguments> lifetimes() {
        return List.of(Arguments.of(true, 1), Arguments.of(false, 0));
    }

    private void passTime(long ms) {
        for (long passedMs = 0; passedMs < ms; passedMs += 1000) {
            nowMs += 1000;
            directory.expireLeaving();
        }
    }
}
