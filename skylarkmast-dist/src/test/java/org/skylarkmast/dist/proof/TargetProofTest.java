package org.skylarkmast.dist.proof;

import static com.google.common.truth.Truth.assertThat;
import static org.skylarkmast.dist.proof.ScenarioRun.awaitResult;
import static org.skylarkmast.dist.proof.ScenarioRun.modelCall;

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

/** Callers receive complete answers to their own requests, and leaving targets no new ones. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class TargetProofTest {
    private static final int LONG_ANSWER_TOKENS = 100;
    private static final int PROGRAM_COUNT = 6;

    private ScenarioCluster cluster;

    @BeforeAll
    void start() throws IOException {
        cluster = new ScenarioCluster("target", ClusterShape.small());
    }

    @AfterAll
    void stop() {
        cluster.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 40})
    void engineBreaksTheStream(int afterTokens) throws IOException {
        try (ScenarioRun run = cluster.beginScenario("engine breaks after " + afterTokens)) {
            for (Runner engine : run.cluster().engines()) {
                run.cluster().injectFaults(engine.name(), Map.of("breakAfterTokens", afterTokens));
            }
            for (Future<CallerOutcome.Succeeded> answer : startStreams(run)) {
                awaitResult(answer);
            }
            for (Runner engine : run.cluster().engines()) {
                run.cluster().clearFaults(engine.name());
            }
            run.verifyInvariants();
        }
    }

    @Test
    void enginePausedUnderLoad() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("engine paused")) {
            List<Future<CallerOutcome.Succeeded>> answers = startStreams(run);
            Runner engine = run.cluster().engines().getFirst();
            run.cluster().signal(engine.name(), Signal.STOP);
            Await.pause(3_000);
            run.cluster().signal(engine.name(), Signal.CONT);
            for (Future<CallerOutcome.Succeeded> answer : answers) {
                awaitResult(answer);
            }
            run.verifyInvariants();
        }
    }

    @Test
    void callerRepeatsRequestThroughEveryHost() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("back by every host")) {
            String program = run.program("p");
            CallerRequest first = modelCall(program, 1, LONG_ANSWER_TOKENS, true);
            List<Future<CallerOutcome>> answers = new ArrayList<>();
            for (int i = 0; i < PROGRAM_COUNT; i++) {
                int host = i % 3;
                answers.add(run.submit(() -> run.send(host, first)));
            }
            for (Future<CallerOutcome> answer : answers) {
                assertThat(awaitResult(answer)).isInstanceOf(CallerOutcome.Succeeded.class);
            }
            assertThat(run.send(1, first)).isInstanceOf(CallerOutcome.Succeeded.class);
            run.verifyInvariants();
        }
    }

    private static List<Future<CallerOutcome.Succeeded>> startStreams(ScenarioRun run) {
        List<Future<CallerOutcome.Succeeded>> answers = new ArrayList<>();
        for (int i = 0; i < PROGRAM_COUNT; i++) {
            CallerRequest request =
                    modelCall(run.program("p" + i), 1, LONG_ANSWER_TOKENS, i % 2 == 0);
            answers.add(run.submit(() -> run.sendAndAssertSuccess(request)));
        }
        return answers;
    }

    @Test
    void leavingRunnersReceiveNoNewRequests() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("leaving")) {
            Runner engine = run.cluster().engines().getFirst();
            Runner service = run.cluster().services().getFirst();
            run.cluster().markLeaving(engine);
            run.cluster().markLeaving(service);
            Await.pause(CheckerLimits.GUARANTEED.leavingMs());
            sendModelAndServiceCalls(run, "left");
            run.cluster().markLive(engine);
            run.cluster().markLive(service);
            run.verifyInvariants();
        }
    }

    @Test
    void flappingRunnersReceiveNoNewRequestsWhileLeaving() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("flapping")) {
            Runner engine = run.cluster().engines().get(1);
            for (int i = 0; i < 3; i++) {
                run.cluster().markLeaving(engine);
                run.cluster().markLive(engine);
            }
            run.cluster().markLeaving(engine);
            Await.pause(CheckerLimits.GUARANTEED.leavingMs());
            sendModelAndServiceCalls(run, "flapped");
            run.cluster().markLive(engine);
            run.verifyInvariants();
        }
    }

    private static void sendModelAndServiceCalls(ScenarioRun run, String name) {
        for (int i = 1; i <= 2 * PROGRAM_COUNT; i++) {
            String program = run.program(name + i);
            run.sendAndAssertSuccess(modelCall(program, 1, 0, false));
            run.sendAndAssertSuccess(ScenarioRun.serviceCall(program, 1));
        }
    }
}
