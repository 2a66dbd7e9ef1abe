package org.skylarkmast.dist.proof;

import static com.google.common.truth.Truth.assertThat;
import static org.skylarkmast.dist.proof.ScenarioRun.awaitResult;
import static org.skylarkmast.dist.proof.ScenarioRun.modelCall;
import static org.skylarkmast.dist.proof.ScenarioRun.serviceCall;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.bench.caller.CallerOutcome;
import org.skylarkmast.bench.caller.CallerRequest;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.cluster.Signal;
import org.skylarkmast.bench.history.HistoryRecord.Kind;

/** Turn order and history of programs while owners crash, pause or cannot reach the store. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ProgramProofTest {
    private static final int LONG_ANSWER_TOKENS = 150;

    private ScenarioCluster cluster;

    @BeforeAll
    void start() throws IOException {
        cluster = new ScenarioCluster("program", ClusterShape.small());
    }

    @AfterAll
    void stop() {
        cluster.close();
    }

    /** The steps of a scenario before its invariants are verified. */
    @FunctionalInterface
    interface Scenario {
        void run(ScenarioRun run) throws IOException;
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void preservesTurnOrderAndHistory(Named<Scenario> scenario) throws IOException {
        try (ScenarioRun run = cluster.beginScenario(scenario.getName())) {
            scenario.getPayload().run(run);
            run.verifyInvariants();
        }
    }

    static Stream<Named<Named<Scenario>>> scenarios() {
        return Stream.of(
                        Named.<Scenario>of("no fault", ProgramProofTest::noFault),
                        Named.<Scenario>of(
                                "owner killed mid-turn", ProgramProofTest::killedMidTurn),
                        Named.<Scenario>of(
                                "owner killed after the answer",
                                ProgramProofTest::killedAfterAnswer),
                        Named.<Scenario>of(
                                "owner paused past its lease", ProgramProofTest::pausedMidTurn),
                        Named.<Scenario>of("three hosts at once", ProgramProofTest::threeHosts),
                        Named.<Scenario>of(
                                "store down, then owner killed", ProgramProofTest::storeDown),
                        Named.<Scenario>of("two workspaces", ProgramProofTest::twoWorkspaces))
                .map(scenario -> Named.of(scenario.getName(), scenario));
    }

    private static void noFault(ScenarioRun run) {
        String program = run.program("p");
        for (int turn = 1; turn <= 4; turn++) {
            run.sendAndAssertSuccess(modelCall(program, turn, 0, turn % 2 == 0));
            run.sendAndAssertSuccess(serviceCall(program, turn));
            run.sendAndAssertSuccess(modelCall(program + "/parts", turn, 0, false));
        }
    }

    private static void killedMidTurn(ScenarioRun run) throws IOException {
        String program = run.program("p");
        Node owner = run.owner(run.sendAndAssertSuccess(modelCall(program, 1, 0, true)));
        CallerRequest second = modelCall(program, 2, LONG_ANSWER_TOKENS, true);
        Future<CallerOutcome.Succeeded> answer = run.submit(() -> run.sendAndAssertSuccess(second));
        run.awaitTargetReceived(second);
        run.kill(owner);
        awaitResult(answer);
        run.sendAndAssertSuccess(modelCall(program, 3, 0, true));
    }

    private static void killedAfterAnswer(ScenarioRun run) throws IOException {
        String program = run.program("p");
        for (int turn = 1; turn <= 3; turn++) {
            Node owner =
                    run.owner(run.sendAndAssertSuccess(modelCall(program, turn, 0, turn % 2 == 0)));
            run.kill(owner);
            run.restartEnded();
        }
        run.sendAndAssertSuccess(modelCall(program, 4, 0, true));
    }

    private static void pausedMidTurn(ScenarioRun run) throws IOException {
        String program = run.program("p");
        Node owner = run.owner(run.sendAndAssertSuccess(modelCall(program, 1, 0, true)));
        CallerRequest second = modelCall(program, 2, LONG_ANSWER_TOKENS, true);
        Future<CallerOutcome.Succeeded> answer = run.submit(() -> run.sendAndAssertSuccess(second));
        run.awaitTargetReceived(second);
        run.pausePastLease(owner);
        awaitResult(answer);
        run.sendAndAssertSuccess(modelCall(program, 3, 0, true));
    }

    private static void threeHosts(ScenarioRun run) throws IOException {
        String program = run.program("p");
        run.sendAndAssertSuccess(modelCall(program, 1, 0, false));
        List<Future<CallerOutcome>> answers = new ArrayList<>();
        for (int turn = 2; turn <= 7; turn++) {
            int host = turn % 3;
            CallerRequest request = modelCall(program, turn, 0, true);
            answers.add(run.submit(() -> run.send(host, request)));
        }
        for (Future<CallerOutcome> answer : answers) {
            assertThat(awaitResult(answer)).isInstanceOf(CallerOutcome.Succeeded.class);
        }
    }

    private static void storeDown(ScenarioRun run) throws IOException {
        String program = run.program("p");
        Node owner = run.owner(run.sendAndAssertSuccess(modelCall(program, 1, 0, false)));
        run.cluster().injectFaults("store", Map.of("down", true));
        for (int turn = 2; turn <= 4; turn++) {
            run.sendAndAssertSuccess(modelCall(program, turn, 0, true));
        }
        run.kill(owner);
        run.cluster().clearFaults("store");
        run.sendAndAssertSuccess(modelCall(program, 5, 0, true));
    }

    private static void twoWorkspaces(ScenarioRun run) throws IOException {
        String program = run.program("p");
        for (int turn = 1; turn <= 3; turn++) {
            CallerRequest request = modelCall(program, turn, 0, true);
            run.sendAndAssertSuccess(request);
            run.sendAndAssertSuccess(
                    new CallerRequest(
                            "consortium",
                            program,
                            request.key(),
                            Kind.MODEL,
                            true,
                            "consortium " + request.text(),
                            true));
        }
        Node first = run.cluster().nodes().getFirst();
        run.cluster().signal(first.name(), Signal.KILL);
        run.restartEnded();
        run.sendAndAssertSuccess(modelCall(program, 4, 0, true));
    }
}
