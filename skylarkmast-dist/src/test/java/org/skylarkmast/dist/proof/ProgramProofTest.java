package org.skylarkmast.dist.proof;

import static com.google.common.truth.Truth.assertThat;
import static org.skylarkmast.dist.proof.ProofRun.order;
import static org.skylarkmast.dist.proof.ProofRun.outcome;
import static org.skylarkmast.dist.proof.ProofRun.turn;

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

/** Order and history of programs while their owners die, pause and lose the store. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ProgramProofTest {
    private static final int LONG_ANSWER = 150;

    private ProofCluster proofs;

    @BeforeAll
    void start() throws IOException {
        proofs = new ProofCluster("program", ClusterShape.small());
    }

    @AfterAll
    void stop() {
        proofs.close();
    }

    /** What happens in a scenario before it is judged. */
    @FunctionalInterface
    interface Scenario {
        void play(ProofRun run) throws IOException;
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void keepsOrderAndHistory(Named<Scenario> scenario) throws IOException {
        try (ProofRun run = proofs.begin(scenario.getName())) {
            scenario.getPayload().play(run);
            run.judge();
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

    private static void noFault(ProofRun run) {
        String program = run.program("p");
        for (int turn = 1; turn <= 4; turn++) {
            run.askWhole(turn(program, turn, 0, turn % 2 == 0));
            run.askWhole(order(program, turn));
            run.askWhole(turn(program + "/parts", turn, 0, false));
        }
    }

    private static void killedMidTurn(ProofRun run) throws IOException {
        String program = run.program("p");
        Node owner = run.owner(run.askWhole(turn(program, 1, 0, true)));
        CallerRequest second = turn(program, 2, LONG_ANSWER, true);
        Future<CallerOutcome.Succeeded> answer = run.beside(() -> run.askWhole(second));
        run.awaitSeen(second);
        run.kill(owner);
        outcome(answer);
        run.askWhole(turn(program, 3, 0, true));
    }

    private static void killedAfterAnswer(ProofRun run) throws IOException {
        String program = run.program("p");
        for (int turn = 1; turn <= 3; turn++) {
            Node owner = run.owner(run.askWhole(turn(program, turn, 0, turn % 2 == 0)));
            run.kill(owner);
            run.restartEnded();
        }
        run.askWhole(turn(program, 4, 0, true));
    }

    private static void pausedMidTurn(ProofRun run) throws IOException {
        String program = run.program("p");
        Node owner = run.owner(run.askWhole(turn(program, 1, 0, true)));
        CallerRequest second = turn(program, 2, LONG_ANSWER, true);
        Future<CallerOutcome.Succeeded> answer = run.beside(() -> run.askWhole(second));
        run.awaitSeen(second);
        run.pausePastLease(owner);
        outcome(answer);
        run.askWhole(turn(program, 3, 0, true));
    }

    private static void threeHosts(ProofRun run) throws IOException {
        String program = run.program("p");
        run.askWhole(turn(program, 1, 0, false));
        List<Future<CallerOutcome>> answers = new ArrayList<>();
        for (int turn = 2; turn <= 7; turn++) {
            int host = turn % 3;
            CallerRequest request = turn(program, turn, 0, true);
            answers.add(run.beside(() -> run.send(host, request)));
        }
        for (Future<CallerOutcome> answer : answers) {
            assertThat(outcome(answer)).isInstanceOf(CallerOutcome.Succeeded.class);
        }
    }

    private static void storeDown(ProofRun run) throws IOException {
        String program = run.program("p");
        Node owner = run.owner(run.askWhole(turn(program, 1, 0, false)));
        run.cluster().injectFaults("store", Map.of("down", true));
        for (int turn = 2; turn <= 4; turn++) {
            run.askWhole(turn(program, turn, 0, true));
        }
        run.kill(owner);
        run.cluster().clearFaults("store");
        run.askWhole(turn(program, 5, 0, true));
    }

    private static void twoWorkspaces(ProofRun run) throws IOException {
        String program = run.program("p");
        for (int turn = 1; turn <= 3; turn++) {
            CallerRequest ours = turn(program, turn, 0, true);
            run.askWhole(ours);
            run.askWhole(
                    new CallerRequest(
                            "consortium",
                            program,
                            ours.key(),
                            Kind.MODEL,
                            true,
                            "consortium " + ours.text(),
                            true));
        }
        Node first = run.cluster().nodes().getFirst();
        run.cluster().signal(first.name(), Signal.KILL);
        run.restartEnded();
        run.askWhole(turn(program, 4, 0, true));
    }
}
