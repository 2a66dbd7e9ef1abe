package org.skylarkmast.relay.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class QuarantineTest {
    private static final RequestFingerprint D = new RequestFingerprint(0, 'd');
    private static final RequestFingerprint E = new RequestFingerprint(0, 'e');

    /** The end of the first period on every node: its jitter is at most once the period. */
    private static final long FIRST_PERIOD_MS = 2 * Quarantine.BASE_PERIOD_MS;

    private long nowMs = 1_000_000;
    private int runners;

    private Quarantine quarantine(long salt) {
        return new Quarantine(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), salt);
    }

    private void crash(Quarantine quarantine, RequestFingerprint fingerprint, long heldMs) {
        quarantine.recordCrash("r/" + runners++, List.of(new Suspect(fingerprint, heldMs)));
    }

    private void advance(Quarantine quarantine, long ms) {
        long endMs = nowMs + ms;
        while (nowMs < endMs) {
            nowMs = Math.min(endMs, nowMs + 1000);
            quarantine.expire();
        }
    }

    private static boolean isAdmitted(Quarantine quarantine, RequestFingerprint fingerprint) {
        return switch (quarantine.decide(fingerprint)) {
            case QuarantineDecision.Admitted admitted -> true;
            case QuarantineDecision.Quarantined quarantined -> {
                assertThat(quarantined.remainingMs()).isGreaterThan(0L);
                yield false;
            }
        };
    }

    static Stream<Arguments> crashes() {
        return Stream.of(
                Arguments.of("one, begun at once", List.of(5L), true),
                Arguments.of("two, begun at once", List.of(5L, 5L), false),
                Arguments.of("two, from a queue", List.of(700L, 700L), true),
                Arguments.of("three, from a queue", List.of(700L, 700L, 700L), false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("crashes")
    void quarantinesWhatEndsRunners(String name, List<Long> heldMs, boolean admitted) {
        Quarantine quarantine = quarantine(1);
        heldMs.forEach(held -> crash(quarantine, D, held));
        assertThat(isAdmitted(quarantine, D)).isEqualTo(admitted);
        assertThat(isAdmitted(quarantine, E)).isTrue();
        assertThat(quarantine.quarantinedCount()).isEqualTo(admitted ? 0 : 1);
        assertThat(quarantine.suspectCount()).isEqualTo(1);
    }

    @ParameterizedTest(name = "salt {0}")
    @ValueSource(longs = {1, -5, 77, 1L << 40})
    void admitsOnceWhenThePeriodHasPassed(long salt) {
        Quarantine quarantine = quarantine(salt);
        crash(quarantine, D, 5);
        crash(quarantine, D, 5);
        advance(quarantine, Quarantine.BASE_PERIOD_MS - 1);
        assertThat(isAdmitted(quarantine, D)).isFalse();
        advance(quarantine, FIRST_PERIOD_MS - Quarantine.BASE_PERIOD_MS + 1);
        assertThat(isAdmitted(quarantine, D)).isTrue();
        assertThat(isAdmitted(quarantine, D)).isFalse();
    }

    @ParameterizedTest(name = "salt {0}")
    @ValueSource(longs = {1, -5, 77, 1L << 40})
    void crashAfterThePeriodQuarantinesAtOnce(long salt) {
        Quarantine quarantine = quarantine(salt);
        crash(quarantine, D, 700);
        crash(quarantine, D, 700);
        crash(quarantine, D, 700);
        for (int i = 0; i < 12; i++) {
            advance(quarantine, Quarantine.MAX_PERIOD_MS + Quarantine.BASE_PERIOD_MS);
            assertThat(isAdmitted(quarantine, D)).isTrue();
            crash(quarantine, D, 700);
            assertThat(isAdmitted(quarantine, D)).isFalse();
            advance(quarantine, Quarantine.BASE_PERIOD_MS - 1);
            assertThat(isAdmitted(quarantine, D)).isFalse();
        }
    }

    @Test
    void periodGrowsWithEachCrashAfterThePeriod() {
        Quarantine quarantine = quarantine(1);
        crash(quarantine, D, 700);
        crash(quarantine, D, 700);
        crash(quarantine, D, 700);
        advance(quarantine, FIRST_PERIOD_MS);
        crash(quarantine, D, 700);
        advance(quarantine, 2 * Quarantine.BASE_PERIOD_MS - 1);
        assertThat(isAdmitted(quarantine, D)).isFalse();
    }

    @Test
    void completionAfterThePeriodClears() {
        Quarantine quarantine = quarantine(1);
        crash(quarantine, D, 5);
        crash(quarantine, D, 5);
        advance(quarantine, FIRST_PERIOD_MS);
        assertThat(isAdmitted(quarantine, D)).isTrue();
        quarantine.recordCompletion(D);
        assertThat(isAdmitted(quarantine, D)).isTrue();
        assertThat(isAdmitted(quarantine, D)).isTrue();
        assertThat(quarantine.hasSuspects()).isFalse();
    }

    @ParameterizedTest(name = "{0} crashes")
    @ValueSource(ints = {1, 2, 5})
    void forgetsRequestsThatComeNoMore(int crashes) {
        Quarantine quarantine = quarantine(1);
        for (int i = 0; i < crashes; i++) {
            crash(quarantine, D, 5);
        }
        assertThat(quarantine.hasSuspects()).isTrue();
        advance(quarantine, CrashReports.REPEATED_RETENTION_MS + 1);
        assertThat(quarantine.hasSuspects()).isFalse();
        assertThat(quarantine.reports().crashes()).isEmpty();
        assertThat(isAdmitted(quarantine, D)).isTrue();
    }

    @Test
    void crashesSeenByOtherNodesCount() {
        Quarantine here = quarantine(1);
        Quarantine there = quarantine(2);
        crash(here, D, 700);
        crash(there, D, 700);
        crash(there, D, 700);
        assertThat(isAdmitted(here, D)).isTrue();
        here.apply(there.reports());
        assertThat(isAdmitted(here, D)).isFalse();
        assertThat(here.reports().crashes()).hasSize(1);
        there.recordCompletion(D);
        here.apply(there.reports());
        assertThat(isAdmitted(here, D)).isTrue();
        assertThat(here.reports().crashes().getFirst().suspects()).isEmpty();
    }

    @Test
    void completionOfRequestThatIsNotSuspectedIsNotReported() {
        Quarantine quarantine = quarantine(1);
        crash(quarantine, D, 5);
        quarantine.recordCompletion(E);
        assertThat(quarantine.reports().completions()).isEmpty();
    }

    /** A runner's requests may notice its end one after the other. */
    @Test
    void suspectsOfOneCrashAreRecordedOneByOne() {
        Quarantine quarantine = quarantine(1);
        for (int i = 0; i < 3; i++) {
            quarantine.recordCrash("r/1", List.of(new Suspect(D, 5)));
            quarantine.recordCrash("r/1", List.of(new Suspect(E, 40)));
        }
        assertThat(isAdmitted(quarantine, D)).isTrue();
        assertThat(quarantine.reports().crashes()).hasSize(1);
        assertThat(quarantine.suspectCount()).isEqualTo(2);
    }
}
