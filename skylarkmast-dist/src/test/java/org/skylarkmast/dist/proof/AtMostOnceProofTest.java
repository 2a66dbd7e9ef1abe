package org.skylarkmast.dist.proof;

import static org.skylarkmast.dist.proof.ScenarioRun.awaitResult;
import static org.skylarkmast.dist.proof.ScenarioRun.modelCall;
import static org.skylarkmast.dist.proof.ScenarioRun.serviceCall;

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
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.cluster.Runner;
import org.skylarkmast.bench.cluster.Signal;

/**
 * Non-repeatable calls are executed at most once, and refusals are reported truthfully, while the
 * owner, the service or the key-value store fails.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AtMostOnceProofTest {
    private static final int SERVICE_CALLS = 12;

    /**
     * Lengthens the time between a call's intent and its record, so that faults occur between the
     * two.
     */
    private static final int STORE_DELAY_MS = 150;

    private ScenarioCluster cluster;

    @BeforeAll
    void start() throws IOException {
        cluster = new ScenarioCluster("at-most-once", ClusterShape.small());
    }

    @AfterAll
    void stop() {
        cluster.close();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 120, 240, 360, 480, 700})
    void ownerKilledDuringServiceCalls(long afterMs) throws IOException {
        try (ScenarioRun run = cluster.beginScenario("kill after " + afterMs)) {
            injectFaultDuringServiceCalls(run, afterMs, Signal.KILL);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 150, 300, 450})
    void ownerPausedPastLeaseDuringServiceCalls(long afterMs) throws IOException {
        try (ScenarioRun run = cluster.beginScenario("pause after " + afterMs)) {
            injectFaultDuringServiceCalls(run, afterMs, Signal.STOP);
        }
    }

    private static void injectFaultDuringServiceCalls(ScenarioRun run, long afterMs, Signal signal)
            throws IOException {
        String program = run.program("p");
        Node owner = run.owner(run.sendAndAssertSuccess(modelCall(program, 1, 0, false)));
        run.cluster().injectFaults("store", Map.of("delayMs", STORE_DELAY_MS));
        List<Future<CallerOutcome>> calls = sendServiceCalls(run, program);
        Await.pause(afterMs);
        if (signal == Signal.KILL) {
            run.kill(owner);
        } else {
            run.pausePastLease(owner);
        }
        run.cluster().clearFaults("store");
        for (Future<CallerOutcome> call : calls) {
            awaitResult(call);
        }
        run.verifyInvariants();
    }

    /**
     * Sends calls of several sub-agents of one program, so that many are in flight concurrently.
     */
    private static List<Future<CallerOutcome>> sendServiceCalls(ScenarioRun run, String program) {
        List<Future<CallerOutcome>> calls = new ArrayList<>();
        for (int i = 1; i <= SERVICE_CALLS; i++) {
            CallerRequest request = serviceCall(program + "/a" + i, i);
            calls.add(run.submit(() -> run.sendWithRetries(request)));
        }
        return calls;
    }

    @Test
    void sameKeyThroughAllHostsConcurrently() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("same key by all hosts")) {
            String program = run.program("p");
            run.sendAndAssertSuccess(modelCall(program, 1, 0, false));
            List<Future<CallerOutcome>> answers = new ArrayList<>();
            for (int i = 1; i <= SERVICE_CALLS; i++) {
                CallerRequest request = serviceCall(program, i);
                for (int host = 0; host < 3; host++) {
                    int sender = host;
                    answers.add(run.submit(() -> run.send(sender, request)));
                }
            }
            for (Future<CallerOutcome> answer : answers) {
                awaitResult(answer);
            }
            run.verifyInvariants();
        }
    }

    @Test
    void serviceAnswersLost() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("service loses answers")) {
            String program = run.program("p");
            run.sendAndAssertSuccess(modelCall(program, 1, 0, false));
            for (Runner service : run.cluster().services()) {
                run.cluster().injectFaults(service.name(), Map.of("loseAnswers", 2));
            }
            for (Future<CallerOutcome> call : sendServiceCalls(run, program)) {
                awaitResult(call);
            }
            for (Runner service : run.cluster().services()) {
                run.cluster().clearFaults(service.name());
            }
            run.verifyInvariants();
        }
    }

    @Test
    void storeAnswersLost() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("store loses answers")) {
            String program = run.program("p");
            run.sendAndAssertSuccess(modelCall(program, 1, 0, false));
            run.cluster().injectFaults("store", Map.of("loseAnswers", 5));
            List<Future<CallerOutcome>> calls = sendServiceCalls(run, program);
            for (Future<CallerOutcome> call : calls) {
                awaitResult(call);
            }
            run.cluster().clearFaults("store");
            run.verifyInvariants();
        }
    }

    @Test
    void storeDownThenOwnerKilled() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("store down then kill")) {
            String program = run.program("p");
            Node owner = run.owner(run.sendAndAssertSuccess(modelCall(program, 1, 0, false)));
            run.cluster().injectFaults("store", Map.of("down", true));
            List<Future<CallerOutcome>> calls = sendServiceCalls(run, program);
            Await.pause(STORE_DELAY_MS);
            run.kill(owner);
            run.cluster().clearFaults("store");
            for (Future<CallerOutcome> call : calls) {
                awaitResult(call);
            }
            run.verifyInvariants();
        }
    }

    @Test
    void allRunnersRefuse() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("services refuse")) {
            String program = run.program("p");
            run.sendAndAssertSuccess(modelCall(program, 1, 0, false));
            for (Runner service : run.cluster().services()) {
                run.cluster().injectFaults(service.name(), Map.of("refuse", true));
            }
            List<Future<CallerOutcome>> refused = new ArrayList<>();
            for (int i = 1; i <= SERVICE_CALLS; i++) {
                CallerRequest request = serviceCall(program + "/a" + i, i);
                int host = i % 3;
                refused.add(run.submit(() -> run.send(host, request)));
            }
            for (Future<CallerOutcome> call : refused) {
                awaitResult(call);
            }
            for (Runner service : run.cluster().services()) {
                run.cluster().clearFaults(service.name());
            }
            run.verifyInvariants();
        }
    }
}
