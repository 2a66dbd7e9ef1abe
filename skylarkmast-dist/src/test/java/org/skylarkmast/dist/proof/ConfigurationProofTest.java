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

/** Accepted configurations come into force everywhere in time and never revert. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ConfigurationProofTest {
    private static final int WRITES = 5;
    private static final long SAMPLE_MS = 250;

    private ProofCluster proofs;

    @BeforeAll
    void start() throws IOException {
        proofs = new ProofCluster("configuration", ClusterShape.small());
    }

    @AfterAll
    void stop() {
        proofs.close();
    }

    @Test
    void racingWriters() throws IOException {
        try (ProofRun run = proofs.begin("racing writers")) {
            List<Future<Integer>> writers = new ArrayList<>();
            for (int host = 0; host < 3; host++) {
                int by = host;
                writers.add(run.beside(() -> publishSome(run, by)));
            }
            int accepted = 0;
            for (Future<Integer> writer : writers) {
                accepted += ProofRun.outcome(writer);
            }
            assertThat(accepted).isAtLeast(1);
            watchSpread(run);
            run.judge();
        }
    }

    @Test
    void answersOfTheStoreLost() throws IOException {
        try (ProofRun run = proofs.begin("answers lost")) {
            run.cluster().injectFaults("store", Map.of("loseAnswers", 2));
            publishSome(run, 0);
            run.cluster().clearFaults("store");
            publishSome(run, 1);
            watchSpread(run);
            run.judge();
        }
    }

    @Test
    void watchesBroken() throws IOException {
        try (ProofRun run = proofs.begin("watches broken")) {
            run.cluster().injectFaults("store", Map.of("dropWatches", true));
            assertThat(publishSome(run, 0)).isAtLeast(1);
            watchSpread(run);
            run.judge();
        }
    }

    @Test
    void nodePausedWhileOthersPublish() throws IOException {
        try (ProofRun run = proofs.begin("node paused")) {
            Future<Integer> writer = run.beside(() -> publishSome(run, 0));
            run.pausePastLease(run.cluster().nodes().get(2));
            ProofRun.outcome(writer);
            watchSpread(run);
            run.judge();
        }
    }

    @Test
    void nodesRestartedWhileTheStoreIsDown() throws IOException {
        try (ProofRun run = proofs.begin("store down at start")) {
            assertThat(publishSome(run, 0)).isAtLeast(1);
            watchSpread(run);
            run.cluster().injectFaults("store", Map.of("down", true));
            for (Node node : run.cluster().nodes().subList(0, 2)) {
                run.kill(node);
                run.cluster().restart(node);
                run.cluster().recordRevisions();
            }
            run.cluster().clearFaults("store");
            watchSpread(run);
            run.judge();
        }
    }

    /**
     * Returns how many of its publishes were accepted; refused and unknown ones are not counted.
     */
    private static int publishSome(ProofRun run, int host) {
        int accepted = 0;
        for (int i = 0; i < WRITES; i++) {
            Map<String, Object> priority =
                    Map.of("kind", "priority", "name", "p" + host, "level", i, "maxWaitMs", 1_000);
            try {
                run.cluster().publish(run.cluster().nodes().get(host), List.of(priority));
                accepted++;
            } catch (IOException e) {
                // A refused or unknown publish promises nothing, so nothing is judged of it.
                Await.pause(SAMPLE_MS);
            }
        }
        return accepted;
    }

    /** Observes all nodes until after the last accepted configuration must be in force. */
    private static void watchSpread(ProofRun run) {
        long samples = CheckerLimits.GUARANTEED.configurationMs() / SAMPLE_MS + 2;
        for (int i = 0; i < samples; i++) {
            run.cluster().recordRevisions();
            Await.pause(SAMPLE_MS);
        }
    }
}
