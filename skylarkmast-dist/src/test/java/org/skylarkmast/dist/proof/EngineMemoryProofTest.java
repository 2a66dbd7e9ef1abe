package org.skylarkmast.dist.proof;

import static org.skylarkmast.dist.proof.ProofRun.outcome;
import static org.skylarkmast.dist.proof.ProofRun.turn;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.skylarkmast.bench.cluster.Await;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.cluster.Runner;
import org.skylarkmast.bench.cluster.Signal;

/** Engine memory of ended programs is released, whatever happens between. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EngineMemoryProofTest {
    private ProofCluster proofs;

    @BeforeAll
    void start() throws IOException {
        proofs = new ProofCluster("engine-memory", ClusterShape.small());
    }

    @AfterAll
    void stop() {
        proofs.close();
    }

    @Test
    void memoryIsReleasedWhenProgramsEnd() throws IOException {
        try (ProofRun run = proofs.begin("programs end")) {
            String program = run.program("p");
            run.askWhole(turn(program, 1, 0, false));
            run.askWhole(turn(program + "/parts", 1, 0, false));
            run.judge();
        }
    }

    @Test
    void memoryIsReleasedWhenTheOwnerIsKilledBefore() throws IOException {
        try (ProofRun run = proofs.begin("killed before release")) {
            String program = run.program("p");
            Node owner = run.owner(run.askWhole(turn(program, 1, 0, false)));
            run.askWhole(turn(program + "/parts", 1, 0, false));
            for (Runner engine : run.cluster().engines()) {
                run.cluster().signal(engine.name(), Signal.STOP);
            }
            Future<Boolean> ending = run.beside(() -> run.end(run.otherThan(owner), program));
            Await.pause(500);
            run.kill(owner);
            for (Runner engine : run.cluster().engines()) {
                run.cluster().signal(engine.name(), Signal.CONT);
            }
            outcome(ending);
            run.endWhole(program);
            run.judge();
        }
    }

    @Test
    void memoryIsReleasedWhenEnginesAreDown() throws IOException {
        try (ProofRun run = proofs.begin("engines down")) {
            String program = run.program("p");
            run.askWhole(turn(program, 1, 0, false));
            for (Runner engine : run.cluster().engines()) {
                run.cluster().injectFaults(engine.name(), Map.of("refuse", true));
            }
            run.endWhole(program);
            for (Runner engine : run.cluster().engines()) {
                run.cluster().clearFaults(engine.name());
            }
            run.judge();
        }
    }
}
