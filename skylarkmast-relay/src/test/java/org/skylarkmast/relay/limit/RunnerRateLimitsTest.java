package org.skylarkmast.relay.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.relay.runner.Runner;

class RunnerRateLimitsTest {
    private static final Runner RUNNER =
            new Runner("r", "s", "127.0.0.1:1", "here", 4, "v1", false, 1);
    private static final StatedRateLimit LIMITED = new StatedRateLimit.Limited(2.5);
    private static final StatedRateLimit UNLIMITED = new StatedRateLimit.Unlimited();
    private static final StatedRateLimit UNREADABLE = new StatedRateLimit.Unreadable("a few");

    private long nowNs;

    static Stream<Arguments> statements() {
        return Stream.of(
                Arguments.of("none", List.of(), OptionalDouble.empty()),
                Arguments.of("stated", List.of(LIMITED), OptionalDouble.of(2.5)),
                Arguments.of(
                        "changed",
                        List.of(LIMITED, new StatedRateLimit.Limited(0)),
                        OptionalDouble.of(0)),
                Arguments.of("withdrawn", List.of(LIMITED, UNLIMITED), OptionalDouble.empty()),
                Arguments.of("unreadable at first", List.of(UNREADABLE), OptionalDouble.empty()),
                Arguments.of(
                        "unreadable later", List.of(LIMITED, UNREADABLE), OptionalDouble.of(2.5)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("statements")
    void lastReadableStatementIsInForce(
            String name, List<StatedRateLimit> statements, OptionalDouble expected) {
        RunnerRateLimits limits = new RunnerRateLimits(() -> nowNs);
        statements.forEach(stated -> limits.record(RUNNER, stated, "q"));
        assertThat(limits.of(RUNNER)).isEqualTo(expected);
    }

    static Stream<Arguments> incarnations() {
        Runner restarted = new Runner("r", "s", "127.0.0.1:1", "here", 4, "v1", false, 2);
        return Stream.of(
                Arguments.of("same incarnation", RUNNER, OptionalDouble.of(2.5)),
                Arguments.of("restarted", restarted, OptionalDouble.empty()));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("incarnations")
    void limitAppliesToOneIncarnation(String name, Runner runner, OptionalDouble expected) {
        RunnerRateLimits limits = new RunnerRateLimits(() -> nowNs);
        limits.record(RUNNER, LIMITED, "q");
        limits.retain(RUNNER.incarnation()::equals);
        assertThat(limits.of(runner)).isEqualTo(expected);
    }

    static Stream<Arguments> lapses() {
        return Stream.of(
                Arguments.of("lease that ran out with the store away", 9, OptionalDouble.of(2.5)),
                Arguments.of("runner that is gone", 31, OptionalDouble.empty()));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("lapses")
    void limitSurvivesLapseOfItsRunnersRegistration(
            String name, long unregisteredS, OptionalDouble expected) {
        RunnerRateLimits limits = new RunnerRateLimits(() -> nowNs);
        limits.record(RUNNER, LIMITED, "q");
        for (int i = 0; i < unregisteredS; i++) {
            nowNs += 1_000_000_000;
            limits.retain(incarnation -> false);
        }
        assertThat(limits.of(RUNNER)).isEqualTo(expected);
    }

    static Stream<Arguments> reports() {
        RateLimitReport older = new RateLimitReport(RUNNER.incarnation(), 9, 500);
        RateLimitReport newer = new RateLimitReport(RUNNER.incarnation(), 7, 100);
        RateLimitReport withdrawal =
                new RateLimitReport(RUNNER.incarnation(), RateLimitReport.WITHDRAWN, 100);
        return Stream.of(
                Arguments.of("unknown here", List.of(), List.of(older), OptionalDouble.of(9)),
                Arguments.of(
                        "newest of two", List.of(), List.of(newer, older), OptionalDouble.of(7)),
                Arguments.of("older", List.of(LIMITED), List.of(older), OptionalDouble.of(2.5)),
                Arguments.of("newer", List.of(LIMITED), List.of(newer), OptionalDouble.of(7)),
                Arguments.of(
                        "withdrawn", List.of(LIMITED), List.of(withdrawal), OptionalDouble.empty()),
                Arguments.of(
                        "withdrawn here since",
                        List.of(LIMITED, UNLIMITED),
                        List.of(older),
                        OptionalDouble.empty()));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("reports")
    void newerStatementOfAnotherNodeIsInForce(
            String name,
            List<StatedRateLimit> statements,
            List<RateLimitReport> reports,
            OptionalDouble expected) {
        RunnerRateLimits limits = new RunnerRateLimits(() -> nowNs);
        statements.forEach(stated -> limits.record(RUNNER, stated, "q"));
        nowNs += 300_000_000;
        limits.apply(reports);
        assertThat(limits.of(RUNNER)).isEqualTo(expected);
    }
}
