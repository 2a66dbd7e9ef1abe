package org.skylarkmast.dist.proof;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.skylarkmast.bench.cluster.Await;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.history.CheckerLimits;

/** Accepted configurations take effect on all nodes in time and are never reverted. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ConfigurationProofTest {
    private static final int WRITES = 5;
    private static final long SAMPLE_INTERVAL_MS = 250;

    private ScenarioCluster cluster;

    @BeforeAll
    void start() throws IOException {
        cluster = new ScenarioCluster("configuration", ClusterShape.small());
    }

    @AfterAll
    void stop() {
        cluster.close();
    }

    @Test
    void concurrentWriters() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("racing writers")) {
            List<Future<Integer>> writers = new ArrayList<>();
            for (int host = 0; host < 3; host++) {
                int sender = host;
                writers.add(run.submit(() -> publishRepeatedly(run, sender)));
            }
            int accepted = 0;
            for (Future<Integer> writer : writers) {
                accepted += ScenarioRun.awaitResult(writer);
            }
            assertThat(accepted).isAtLeast(1);
            observePropagation(run);
            run.verifyInvariants();
        }
    }

    @Test
    void storeAnswersLost() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("answers lost")) {
            run.cluster().injectFaults("store", Map.of("loseAnswers", 2));
            publishRepeatedly(run, 0);
            run.cluster().clearFaults("store");
            publishRepeatedly(run, 1);
            observePropagation(run);
            run.verifyInvariants();
        }
    }

    @Test
    void watchesBroken() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("watches broken")) {
            run.cluster().injectFaults("store", Map.of("dropWatches", true));
            assertThat(publishRepeatedly(run, 0)).isAtLeast(1);
            observePropagation(run);
            run.verifyInvariants();
        }
    }

    @Test
    void nodePausedWhileOthersPublish() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("node paused")) {
            Future<Integer> writer = run.submit(() -> publishRepeatedly(run, 0));
            run.pausePastLease(run.cluster().nodes().get(2));
            ScenarioRun.awaitResult(writer);
            observePropagation(run);
            run.verifyInvariants();
        }
    }

    @Test
    void nodesRestartedWhileTheStoreIsDown() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("store down at start")) {
            assertThat(publishRepeatedly(run, 0)).isAtLeast(1);
            observePropagation(run);
            run.cluster().injectFaults("store", Map.of("down", true));
            for (Node node : run.cluster().nodes().subList(0, 2)) {
                run.kill(node);
                run.cluster().restart(node);
                run.cluster().recordRevisions();
            }
            run.cluster().clearFaults("store");
            observePropagation(run);
            run.verifyInvariants();
        }
    }

    /**
     * Publishes several changes and returns how many were accepted, without those refused or with
     * an unknown outcome.
     */
    private static int publishRepeatedly(ScenarioRun run, int host) {
        int accepted = 0;
        for (int i = 0; i < WRITES; i++) {
            Map<String, Object> priority =
                    Map.of("kind", "priority", "name", "p" + host, "level", i, "maxWaitMs", 1_000);
            try {
                run.cluster().publish(run.cluster().nodes().get(host), List.of(priority));
                accepted++;
            } catch (IOException e) {
                // A change that was refused or has an unknown outcome need not take effect.
                Await.pause(SAMPLE_INTERVAL_MS);
            }
        }
        return accepted;
    }

    /**
     * Samples the revisions of all nodes until the last accepted configuration must be in force.
     */
    private static void observePropagation(ScenarioRun run) {
        long samples = CheckerLimits.GUARANTEED.configurationMs() / SAMPLE_INTERVAL_MS + 2;
        for (int i = 0; i < samples; i++) {
            run.cluster().recordRevisions();
            Await.pause(SAMPLE_INTERVAL_MS);
        }
    }
}
