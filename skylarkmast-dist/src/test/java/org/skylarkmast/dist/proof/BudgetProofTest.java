package org.skylarkmast.dist.proof;

import static org.skylarkmast.dist.proof.ScenarioRun.awaitResult;
import static org.skylarkmast.dist.proof.ScenarioRun.modelCall;
import static org.skylarkmast.dist.proof.ScenarioRun.serviceCall;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.skylarkmast.bench.caller.CallerOutcome;
import org.skylarkmast.bench.caller.CallerRequest;
import org.skylarkmast.bench.cluster.Await;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.Node;

/** Budgets hold although sub-agents, duplicate requests and crashes compete for them. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BudgetProofTest {
    private static final long TOKEN_BUDGET = 1_500;
    private static final int SERVICE_CALL_BUDGET = 5;
    private static final int SUB_AGENTS = 20;
    private static final int ANSWER_TOKENS = 60;

    private ScenarioCluster cluster;

    @BeforeAll
    void start() throws IOException {
        cluster =
                new ScenarioCluster(
                        "budget",
                        ClusterShape.small().withBudget(TOKEN_BUDGET, SERVICE_CALL_BUDGET));
    }

    @AfterAll
    void stop() {
        cluster.close();
    }

    @Test
    @Tag("known-red")
    void parallelSubAgents() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("parallel sub-agents")) {
            String program = run.program("p");
            run.sendAndAssertSuccess(modelCall(program, 1, 0, false));
            for (Future<CallerOutcome> answer : sendConcurrentCalls(run, program)) {
                awaitResult(answer);
            }
            run.verifyInvariants();
        }
    }

    @Test
    void ownerKilledWithOutstandingGrants() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("owners killed")) {
            String program = run.program("p");
            Node owner = run.owner(run.sendAndAssertSuccess(modelCall(program, 1, 0, false)));
            List<Future<CallerOutcome>> answers = sendConcurrentCalls(run, program);
            Await.pause(300);
            run.kill(owner);
            for (Future<CallerOutcome> answer : answers) {
                awaitResult(answer);
            }
            run.verifyInvariants();
        }
    }

    /** Sends the calls of all sub-agents, each through two hosts concurrently. */
    private static List<Future<CallerOutcome>> sendConcurrentCalls(
            ScenarioRun run, String program) {
        List<Future<CallerOutcome>> answers = new ArrayList<>();
        for (int i = 1; i <= SUB_AGENTS; i++) {
            CallerRequest modelCall = modelCall(program + "/a" + i, 1, ANSWER_TOKENS, true);
            CallerRequest serviceCall = serviceCall(program + "/a" + i, 1);
            for (int host = 0; host < 2; host++) {
                int sender = host;
                answers.add(run.submit(() -> run.send(sender, modelCall)));
                answers.add(run.submit(() -> run.send(sender, serviceCall)));
            }
        }
        return answers;
    }
}
