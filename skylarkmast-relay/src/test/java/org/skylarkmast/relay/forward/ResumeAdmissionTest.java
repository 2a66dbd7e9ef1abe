package org.skylarkmast.relay.forward;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.relay.ledger.ChainOutcome;
import org.skylarkmast.relay.ledger.Reservation;
import org.skylarkmast.relay.ledger.ReserveOutcome;
import org.skylarkmast.relay.ledger.ReserveResult;
import org.skylarkmast.relay.ledger.StreamOrigin;
import org.skylarkmast.relay.ledger.TurnLedger;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.route.Route;
import org.skylarkmast.relay.route.RouteKind;
import org.skylarkmast.relay.runner.Runner;
import org.skylarkmast.relay.runner.RunnerChooser;
import org.skylarkmast.relay.runner.RunnerDirectory;
import org.skylarkmast.relay.runner.RunnerPool;

/**
 * Where a caller's resumption of a stream may go on, by what the ledger knows of the stream's
 * origin and which runners this node knows.
 */
class ResumeAdmissionTest {

    /** What the ledger answers about the attempt that the caller resumes. */
    private enum Knowledge {
        V1,
        V2,
        BOTH,
        NOTHING,
        UNREACHABLE,
        ATTEMPT_NOT_NAMED;

        Set<String> versions() {
            return switch (this) {
                case V1 -> Set.of("v1");
                case V2 -> Set.of("v2");
                case BOTH -> Set.of("v1", "v2");
                case NOTHING, UNREACHABLE, ATTEMPT_NOT_NAMED -> Set.of();
            };
        }
    }

    /** A ledger that grants each reservation and knows the origins of each attempt. */
    private record KnownOrigins(Knowledge knowledge) implements TurnLedger {

        @Override
        public boolean reachable() {
            return knowledge != Knowledge.UNREACHABLE;
        }

        @Override
        public boolean awaitFirstQuorum(long waitMs) {
            return reachable();
        }

        @Override
        public ReserveResult reserve(Reservation reservation, long timeoutMs) {
            return new ReserveResult(
                    reachable() ? ReserveOutcome.GRANTED : ReserveOutcome.UNAVAILABLE,
                    knowledge.versions().stream()
                            .map(version -> new StreamOrigin("s", version))
                            .collect(Collectors.toSet()));
        }

        @Override
        public void settle(String program, String attempt, int tokens, long retentionMs) {}

        @Override
        public boolean append(String program, TurnRecord turn, int tokens, long timeoutMs) {
            return true;
        }

        @Override
        public ChainOutcome chain(String turnId, long timeoutMs) {
            return new ChainOutcome.Absent();
        }
    }

    static List<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (Knowledge knowledge : Knowledge.values()) {
            for (List<String> registered :
                    List.of(
                            List.<String>of(),
                            List.of("v1"),
                            List.of("v2"),
                            List.of("v1", "v2"),
                            List.of("v1", "v1"))) {
                cases.add(Arguments.of(knowledge, registered));
            }
        }
        return cases;
    }

    @ParameterizedTest(name = "ledger {0}, registered {1}")
    @MethodSource("cases")
    void streamGoesOnOnlyAtTheVersionThatIsKnownToHaveBegunIt(
            Knowledge knowledge, List<String> registered) throws InterruptedException {
        RunnerDirectory directory = new RunnerDirectory(System::nanoTime, new PrometheusRegistry());
        List<Runner> runners = new ArrayList<>();
        for (String version : registered) {
            Runner runner =
                    new Runner("r" + runners.size(), "s", "10.0.0.1:1", "d", 4, version, false, 0);
            runners.add(runner);
            directory.put(runner);
        }
        RequestAdmission.Result result =
                new RequestAdmission(
                                pool(directory),
                                new KnownOrigins(knowledge),
                                call(knowledge != Knowledge.ATTEMPT_NOT_NAMED),
                                resumableRoute(),
                                "s",
                                () -> 1000,
                                () -> false)
                        .admit(new RequestLog(new PrometheusRegistry()).begin());
        if (knowledge.versions().size() != 1) {
            assertThat(result).isInstanceOf(RequestAdmission.Result.Refused.class);
            return;
        }
        OriginBinding binding = ((RequestAdmission.Result.Admitted) result).binding();
        assertThat(binding.isFixed()).isTrue();
        for (Runner runner : runners) {
            assertThat(binding.allows(runner))
                    .isEqualTo(knowledge.versions().contains(runner.softwareVersion()));
            assertThat(binding.rebind(runner)).isEqualTo(binding.allows(runner));
        }
    }

    private static RunnerPool pool(RunnerDirectory directory) {
        return new RunnerPool(
                directory, new RunnerChooser("d", () -> 0.5), _ -> 0.0, System::nanoTime);
    }

    private static CallMetadata call(boolean namesAttempt) {
        return new CallMetadata(
                "q2", 1000, "p", 1000, 10, 80, 0, List.of(), "", "1", namesAttempt ? "q1" : "");
    }

    private static Route resumableRoute() {
        return new Route(
                "r",
                "h",
                "/r/",
                RouteKind.STREAM,
                3000,
                500,
                0,
                List.of(new Route.WeightedService("s", 1)),
                2,
                false,
                60_000,
                true);
    }
}
