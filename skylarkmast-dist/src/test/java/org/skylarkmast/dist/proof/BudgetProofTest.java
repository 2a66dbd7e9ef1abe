package org.skylarkmast.dist.proof;

import static org.skylarkmast.dist.proof.ProofRun.order;
import static org.skylarkmast.dist.proof.ProofRun.outcome;
import static org.skylarkmast.dist.proof.ProofRun.turn;

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

/** Budgets that sub-agents, duplicates and crashes together would exceed. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BudgetProofTest {
    private static final long TOKENS = 1_500;
    private static final int SERVICE_CALLS = 5;
    private static final int AGENTS = 20;
    private static final int ANSWER_TOKENS = 60;

    private ProofCluster proofs;

    @BeforeAll
    void start() throws IOException {
        proofs = new ProofCluster("budget", ClusterShape.small().withBudget(TOKENS, SERVICE_CALLS));
    }

    @AfterAll
    void stop() {
        proofs.close();
    }

    @Test
    @Tag("known-red")
    void parallelSubAgents() throws IOException {
        try (ProofRun run = proofs.begin("parallel sub-agents")) {
            String program = run.program("p");
            run.askWhole(turn(program, 1, 0, false));
            for (Future<CallerOutcome> answer : spend(run, program)) {
                outcome(answer);
            }
            run.judge();
        }
    }

    @Test
    void ownersKilledWithGrantsOpen() throws IOException {
        try (ProofRun run = proofs.begin("owners killed")) {
            String program = run.program("p");
            Node owner = run.owner(run.askWhole(turn(program, 1, 0, false)));
            List<Future<CallerOutcome>> answers = spend(run, program);
            Await.pause(300);
            run.kill(owner);
            for (Future<CallerOutcome> answer : answers) {
                outcome(answer);
            }
            run.judge();
        }
    }

    /** Each sub-agent's call is sent by two hosts at once. */
    private static List<Future<CallerOutcome>> spend(ProofRun run, String program) {
        List<Future<CallerOutcome>> answers = new ArrayList<>();
        for (int i = 1; i <= AGENTS; i++) {
            CallerRequest think = turn(program + "/a" + i, 1, ANSWER_TOKENS, true);
            CallerRequest order = order(program + "/a" + i, 1);
            for (int host = 0; host < 2; host++) {
                int by = host;
                answers.add(run.beside(() -> run.send(by, think)));
                answers.add(run.beside(() -> run.send(by, order)));
            }
        }
        return answers;
    }
}
