package org.skylarkmast.dist.proof;

import static com.google.common.truth.Truth.assertThat;
import static org.skylarkmast.dist.proof.ProofRun.outcome;
import static org.skylarkmast.dist.proof.ProofRun.turn;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.bench.caller.CallerOutcome;
import org.skylarkmast.bench.caller.CallerRequest;
import org.skylarkmast.bench.cluster.Await;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.Runner;
import org.skylarkmast.bench.cluster.Signal;
import org.skylarkmast.bench.history.CheckerLimits;

/** Own and whole answers, and leaving targets. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class TargetProofTest {
    private static final int LONG_ANSWER = 100;
    private static final int PROGRAMS = 6;

    private ProofCluster proofs;

    @BeforeAll
    void start() throws IOException {
        proofs = new ProofCluster("target", ClusterShape.small());
    }

    @AfterAll
    void stop() {
        proofs.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 40})
    void engineBreaksTheStream(int afterTokens) throws IOException {
        try (ProofRun run = proofs.begin("engine breaks after " + afterTokens)) {
            for (Runner engine : run.cluster().engines()) {
                run.cluster().injectFaults(engine.name(), Map.of("breakAfterTokens", afterTokens));
            }
            for (Future<CallerOutcome.Succeeded> answer : streams(run)) {
                outcome(answer);
            }
            for (Runner engine : run.cluster().engines()) {
                run.cluster().clearFaults(engine.name());
            }
            run.judge();
        }
    }

    @Test
    void enginePausedUnderLoad() throws IOException {
        try (ProofRun run = proofs.begin("engine paused")) {
            List<Future<CallerOutcome.Succeeded>> answers = streams(run);
            Runner engine = run.cluster().engines().getFirst();
            run.cluster().signal(engine.name(), Signal.STOP);
            Await.pause(3_000);
            run.cluster().signal(engine.name(), Signal.CONT);
            for (Future<CallerOutcome.Succeeded> answer : answers) {
                outcome(answer);
            }
            run.judge();
        }
    }

    @Test
    void callerComesBackByEveryHost() throws IOException {
        try (ProofRun run = proofs.begin("back by every host")) {
            String program = run.program("p");
            CallerRequest first = turn(program, 1, LONG_ANSWER, true);
            List<Future<CallerOutcome>> answers = new ArrayList<>();
            for (int i = 0; i < PROGRAMS; i++) {
                int host = i % 3;
                answers.add(run.beside(() -> run.send(host, first)));
            }
            for (Future<CallerOutcome> answer : answers) {
                assertThat(outcome(answer)).isInstanceOf(CallerOutcome.Succeeded.class);
            }
            assertThat(run.send(1, first)).isInstanceOf(CallerOutcome.Succeeded.class);
            run.judge();
        }
    }

    private static List<Future<CallerOutcome.Succeeded>> streams(ProofRun run) {
        List<Future<CallerOutcome.Succeeded>> answers = new ArrayList<>();
        for (int i = 0; i < PROGRAMS; i++) {
            CallerRequest request = turn(run.program("p" + i), 1, LONG_ANSWER, i % 2 == 0);
            answers.add(run.beside(() -> run.askWhole(request)));
        }
        return answers;
    }

    @Test
    void leavingRunnersGetNothingNew() throws IOException {
        try (ProofRun run = proofs.begin("leaving")) {
            Runner engine = run.cluster().engines().getFirst();
            Runner service = run.cluster().services().getFirst();
            run.cluster().markLeaving(engine);
            run.cluster().markLeaving(service);
            Await.pause(CheckerLimits.GUARANTEED.leavingMs());
            turnsAndOrders(run, "left");
            run.cluster().markLive(engine);
            run.cluster().markLive(service);
            run.judge();
        }
    }

    @Test
    void flappingRunnersGetNothingNewWhileLeaving() throws IOException {
        try (ProofRun run = proofs.begin("flapping")) {
            Runner engine = run.cluster().engines().get(1);
            for (int i = 0; i < 3; i++) {
                run.cluster().markLeaving(engine);
                run.cluster().markLive(engine);
            }
            run.cluster().markLeaving(engine);
            Await.pause(CheckerLimits.GUARANTEED.leavingMs());
            turnsAndOrders(run, "flapped");
            run.cluster().markLive(engine);
            run.judge();
        }
    }

    private static void turnsAndOrders(ProofRun run, String name) {
        for (int i = 1; i <= 2 * PROGRAMS; i++) {
            String program = run.program(name + i);
            run.askWhole(turn(program, 1, 0, false));
            run.askWhole(ProofRun.order(program, 1));
        }
    }
}
