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
import org.skylarkmast.bench.caller.CallerOutcome;
import org.skylarkmast.bench.caller.CallerRequest;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.cluster.Signal;

/** Graceful shutdown under streaming load. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ShutdownProofTest {
    private static final int PROGRAM_COUNT = 12;
    private static final int LONG_ANSWER_TOKENS = 120;
    private static final int STORE_DELAY_MS = 200;

    private ScenarioCluster cluster;

    @BeforeAll
    void start() throws IOException {
        cluster = new ScenarioCluster("shutdown", ClusterShape.small());
    }

    @AfterAll
    void stop() {
        cluster.close();
    }

    @Test
    void oneHost() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("one host")) {
            shutDownUnderLoad(run, () -> run.shutDown(node(run, 0)));
            run.verifyInvariants();
        }
    }

    @Test
    void sameHostTwice() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("same host twice")) {
            shutDownUnderLoad(run, () -> run.shutDown(node(run, 1)));
            run.restartEnded();
            shutDownUnderLoad(run, () -> run.shutDown(node(run, 1)));
            run.verifyInvariants();
        }
    }

    @Test
    void signalSentTwice() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("signal sent twice")) {
            shutDownUnderLoad(
                    run,
                    () -> {
                        run.cluster().signal(node(run, 2).name(), Signal.TERM);
                        run.cluster().signal(node(run, 2).name(), Signal.TERM);
                        run.awaitShutDown(node(run, 2));
                    });
            run.verifyInvariants();
        }
    }

    @Test
    void twoHostsAtOnce() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("two hosts at once")) {
            shutDownUnderLoad(
                    run,
                    () -> {
                        run.cluster().signal(node(run, 0).name(), Signal.TERM);
                        run.cluster().signal(node(run, 1).name(), Signal.TERM);
                        run.awaitShutDown(node(run, 0));
                        run.awaitShutDown(node(run, 1));
                    });
            run.verifyInvariants();
        }
    }

    @Test
    void storeSlow() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("store slow")) {
            shutDownUnderLoad(
                    run,
                    () -> {
                        run.cluster().injectFaults("store", Map.of("delayMs", STORE_DELAY_MS));
                        run.shutDown(node(run, 0));
                        run.cluster().clearFaults("store");
                    });
            run.verifyInvariants();
        }
    }

    /** A shutdown of one or more nodes, with any faults injected meanwhile. */
    @FunctionalInterface
    interface Shutdown {
        void run() throws IOException;
    }

    /** Shuts down while every host streams long answers; asserts that all of them are complete. */
    private static void shutDownUnderLoad(ScenarioRun run, Shutdown shutdown) throws IOException {
        List<Future<CallerOutcome>> streams = new ArrayList<>();
        List<CallerRequest> requests = new ArrayList<>();
        String idPrefix = Long.toString(System.nanoTime(), 36);
        for (int i = 0; i < PROGRAM_COUNT; i++) {
            CallerRequest request =
                    modelCall(run.program(idPrefix + "-" + i), 1, LONG_ANSWER_TOKENS, i % 4 != 0);
            requests.add(request);
            int host = i % 3;
            streams.add(run.submit(() -> run.send(host, request)));
        }
        for (CallerRequest request : requests) {
            run.awaitTargetReceived(request);
        }
        shutdown.run();
        for (Future<CallerOutcome> stream : streams) {
            assertThat(awaitResult(stream)).isInstanceOf(CallerOutcome.Succeeded.class);
        }
    }

    private static Node node(ScenarioRun run, int index) {
        return run.cluster().nodes().get(index);
    }
}
