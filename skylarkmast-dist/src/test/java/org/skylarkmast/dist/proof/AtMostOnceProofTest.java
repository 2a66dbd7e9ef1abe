package org.skylarkmast.dist.proof;

import static org.skylarkmast.dist.proof.ProofRun.order;
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
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.cluster.Runner;
import org.skylarkmast.bench.cluster.Signal;

/** Calls that may not be repeated, and honest refusals, while everything between fails. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AtMostOnceProofTest {
    private static final int ORDERS = 12;

    /** Stretches the time between a call's intent and its record, so that faults fall between. */
    private static final int STORE_DELAY_MS = 150;

    private ProofCluster proofs;

    @BeforeAll
    void start() throws IOException {
        proofs = new ProofCluster("at-most-once", ClusterShape.small());
    }

    @AfterAll
    void stop() {
        proofs.close();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 120, 240, 360, 480, 700})
    void ownerKilledAtAnyMoment(long afterMs) throws IOException {
        try (ProofRun run = proofs.begin("kill after " + afterMs)) {
            faultWhileOrdering(run, afterMs, Signal.KILL);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 150, 300, 450})
    void ownerPausedAtAnyMomentPastItsLease(long afterMs) throws IOException {
        try (ProofRun run = proofs.begin("pause after " + afterMs)) {
            faultWhileOrdering(run, afterMs, Signal.STOP);
        }
    }

    private static void faultWhileOrdering(ProofRun run, long afterMs, Signal signal)
            throws IOException {
        String program = run.program("p");
        Node owner = run.owner(run.askWhole(turn(program, 1, 0, false)));
        run.cluster().injectFaults("store", Map.of("delayMs", STORE_DELAY_MS));
        List<Future<CallerOutcome>> orders = orders(run, program);
        Await.pause(afterMs);
        if (signal == Signal.KILL) {
            run.kill(owner);
        } else {
            run.pausePastLease(owner);
        }
        run.cluster().clearFaults("store");
        for (Future<CallerOutcome> order : orders) {
            outcome(order);
        }
        run.judge();
    }

    /** Orders of one program and its sub-agents, so that many are under way at once. */
    private static List<Future<CallerOutcome>> orders(ProofRun run, String program) {
        List<Future<CallerOutcome>> orders = new ArrayList<>();
        for (int i = 1; i <= ORDERS; i++) {
            CallerRequest request = order(program + "/a" + i, i);
            orders.add(run.beside(() -> run.ask(request)));
        }
        return orders;
    }

    @Test
    void sameKeyByAllHostsAtOnce() throws IOException {
        try (ProofRun run = proofs.begin("same key by all hosts")) {
            String program = run.program("p");
            run.askWhole(turn(program, 1, 0, false));
            List<Future<CallerOutcome>> answers = new ArrayList<>();
            for (int i = 1; i <= ORDERS; i++) {
                CallerRequest request = order(program, i);
                for (int host = 0; host < 3; host++) {
                    int by = host;
                    answers.add(run.beside(() -> run.send(by, request)));
                }
            }
            for (Future<CallerOutcome> answer : answers) {
                outcome(answer);
            }
            run.judge();
        }
    }

    @Test
    void answersOfTheServiceLost() throws IOException {
        try (ProofRun run = proofs.begin("service loses answers")) {
            String program = run.program("p");
            run.askWhole(turn(program, 1, 0, false));
            for (Runner service : run.cluster().services()) {
                run.cluster().injectFaults(service.name(), Map.of("loseAnswers", 2));
            }
            for (Future<CallerOutcome> order : orders(run, program)) {
                outcome(order);
            }
            for (Runner service : run.cluster().services()) {
                run.cluster().clearFaults(service.name());
            }
            run.judge();
        }
    }

    @Test
    void answersOfTheStoreLost() throws IOException {
        try (ProofRun run = proofs.begin("store loses answers")) {
            String program = run.program("p");
            run.askWhole(turn(program, 1, 0, false));
            run.cluster().injectFaults("store", Map.of("loseAnswers", 5));
            List<Future<CallerOutcome>> orders = orders(run, program);
            for (Future<CallerOutcome> order : orders) {
                outcome(order);
            }
            run.cluster().clearFaults("store");
            run.judge();
        }
    }

    @Test
    void storeDownThenOwnerKilled() throws IOException {
        try (ProofRun run = proofs.begin("store down then kill")) {
            String program = run.program("p");
            Node owner = run.owner(run.askWhole(turn(program, 1, 0, false)));
            run.cluster().injectFaults("store", Map.of("down", true));
            List<Future<CallerOutcome>> orders = orders(run, program);
            Await.pause(STORE_DELAY_MS);
            run.kill(owner);
            run.cluster().clearFaults("store");
            for (Future<CallerOutcome> order : orders) {
                outcome(order);
            }
            run.judge();
        }
    }

    @Test
    void allRunnersRefuse() throws IOException {
        try (ProofRun run = proofs.begin("services refuse")) {
            String program = run.program("p");
            run.askWhole(turn(program, 1, 0, false));
            for (Runner service : run.cluster().services()) {
                run.cluster().injectFaults(service.name(), Map.of("refuse", true));
            }
            List<Future<CallerOutcome>> refused = new ArrayList<>();
            for (int i = 1; i <= ORDERS; i++) {
                CallerRequest request = order(program + "/a" + i, i);
                int host = i % 3;
                refused.add(run.beside(() -> run.send(host, request)));
            }
            for (Future<CallerOutcome> order : refused) {
                outcome(order);
            }
            for (Runner service : run.cluster().services()) {
                run.cluster().clearFaults(service.name());
            }
            run.judge();
        }
    }
}
