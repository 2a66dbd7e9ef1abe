package org.skylarkmast.dist.proof;

import static org.skylarkmast.dist.proof.ScenarioRun.awaitResult;
import static org.skylarkmast.dist.proof.ScenarioRun.modelCall;

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

/** Engines release the memory of ended programs despite failures of owners and engines. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EngineMemoryProofTest {
    private ScenarioCluster cluster;

    @BeforeAll
    void start() throws IOException {
        cluster = new ScenarioCluster("engine-memory", ClusterShape.small());
    }

    @AfterAll
    void stop() {
        cluster.close();
    }

    @Test
    void memoryIsReleasedWhenProgramsEnd() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("programs end")) {
            String program = run.program("p");
            run.sendAndAssertSuccess(modelCall(program, 1, 0, false));
            run.sendAndAssertSuccess(modelCall(program + "/parts", 1, 0, false));
            run.verifyInvariants();
        }
    }

    @Test
    void memoryIsReleasedWhenTheOwnerIsKilledBefore() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("killed before release")) {
            String program = run.program("p");
            Node owner = run.owner(run.sendAndAssertSuccess(modelCall(program, 1, 0, false)));
            run.sendAndAssertSuccess(modelCall(program + "/parts", 1, 0, false));
            for (Runner engine : run.cluster().engines()) {
                run.cluster().signal(engine.name(), Signal.STOP);
            }
            Future<Boolean> ending =
                    run.submit(() -> run.endProgram(run.indexOfOtherHost(owner), program));
            Await.pause(500);
            run.kill(owner);
            for (Runner engine : run.cluster().engines()) {
                run.cluster().signal(engine.name(), Signal.CONT);
            }
            awaitResult(ending);
            run.endUntilConfirmed(program);
            run.verifyInvariants();
        }
    }

    @Test
    void memoryIsReleasedWhenEnginesAreDown() throws IOException {
        try (ScenarioRun run = cluster.beginScenario("engines down")) {
            String program = run.program("p");
            run.sendAndAssertSuccess(modelCall(program, 1, 0, false));
            for (Runner engine : run.cluster().engines()) {
                run.cluster().injectFaults(engine.name(), Map.of("refuse", true));
            }
            run.endUntilConfirmed(program);
            for (Runner engine : run.cluster().engines()) {
                run.cluster().clearFaults(engine.name());
            }
            run.verifyInvariants();
        }
    }
}
