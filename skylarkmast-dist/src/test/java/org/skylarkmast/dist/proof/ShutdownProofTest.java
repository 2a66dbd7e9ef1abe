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
import org.skylarkmast.bench.caller.CallerOutcome;
import org.skylarkmast.bench.caller.CallerRequest;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.cluster.Signal;

/** Graceful shutdowns under streaming load. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ShutdownProofTest {
    private static final int PROGRAMS = 12;
    private static final int LONG_ANSWER = 120;
    private static final int STORE_DELAY_MS = 200;

    private ProofCluster proofs;

    @BeforeAll
    void start() throws IOException {
        proofs = new ProofCluster("shutdown", ClusterShape.small());
    }

    @AfterAll
    void stop() {
        proofs.close();
    }

    @Test
    void oneHost() throws IOException {
        try (ProofRun run = proofs.begin("one host")) {
            underLoad(run, () -> run.shutDown(node(run, 0)));
            run.judge();
        }
    }

    @Test
    void sameHostTwice() throws IOException {
        try (ProofRun run = proofs.begin("same host twice")) {
            underLoad(run, () -> run.shutDown(node(run, 1)));
            run.restartEnded();
            underLoad(run, () -> run.shutDown(node(run, 1)));
            run.judge();
        }
    }

    @Test
    void signalSentTwice() throws IOException {
        try (ProofRun run = proofs.begin("signal sent twice")) {
            underLoad(
                    run,
                    () -> {
                        run.cluster().signal(node(run, 2).name(), Signal.TERM);
                        run.cluster().signal(node(run, 2).name(), Signal.TERM);
                        run.awaitShutDown(node(run, 2));
                    });
            run.judge();
        }
    }

    @Test
    void twoHostsAtOnce() throws IOException {
        try (ProofRun run = proofs.begin("two hosts at once")) {
            underLoad(
                    run,
                    () -> {
                        run.cluster().signal(node(run, 0).name(), Signal.TERM);
                        run.cluster().signal(node(run, 1).name(), Signal.TERM);
                        run.awaitShutDown(node(run, 0));
                        run.awaitShutDown(node(run, 1));
                    });
            run.judge();
        }
    }

    @Test
    void storeSlow() throws IOException {
        try (ProofRun run = proofs.begin("store slow")) {
            underLoad(
                    run,
                    () -> {
                        run.cluster().injectFaults("store", Map.of("delayMs", STORE_DELAY_MS));
                        run.shutDown(node(run, 0));
                        run.cluster().clearFaults("store");
                    });
            run.judge();
        }
    }

    /** A shutdown, and all that goes with it. */
    @FunctionalInterface
    interface Shutdown {
        void run() throws IOException;
    }

    /** Shuts down while long answers are streamed by every host; each of them must arrive whole. */
    private static void underLoad(ProofRun run, Shutdown shutdown) throws IOException {
        List<Future<CallerOutcome>> streams = new ArrayList<>();
        List<CallerRequest> requests = new ArrayList<>();
        String generation = Long.toString(System.nanoTime(), 36);
        for (int i = 0; i < PROGRAMS; i++) {
            CallerRequest request =
                    turn(run.program(generation + "-" + i), 1, LONG_ANSWER, i % 4 != 0);
            requests.add(request);
            int host = i % 3;
            streams.add(run.beside(() -> run.send(host, request)));
        }
        for (CallerRequest request : requests) {
            run.awaitSeen(request);
        }
        shutdown.run();
        for (Future<CallerOutcome> stream : streams) {
            assertThat(outcome(stream)).isInstanceOf(CallerOutcome.Succeeded.class);
        }
    }

    private static Node node(ProofRun run, int index) {
        return run.cluster().nodes().get(index);
    }
}
