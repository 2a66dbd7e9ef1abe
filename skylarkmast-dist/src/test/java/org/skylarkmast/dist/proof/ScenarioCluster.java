package org.skylarkmast.dist.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.LocalCluster;
import org.skylarkmast.bench.history.HistoryRecord;

/** A cluster shared by the scenarios of a test class, which run one after the other. */
final class ScenarioCluster implements AutoCloseable {
    private final ClusterShape shape;
    private final Path directory;
    private final AtomicReference<Consumer<HistoryRecord>> history =
            new AtomicReference<>(record -> {});
    private final LocalCluster cluster;

    ScenarioCluster(String name, ClusterShape shape) throws IOException {
        this.shape = shape;
        this.directory = Path.of("target", "proofs", name).toAbsolutePath();
        Files.createDirectories(directory);
        this.cluster =
                LocalCluster.start(
                        shape,
                        Files.createTempDirectory(directory, "run"),
                        System.getProperty("java.class.path"),
                        record -> history.get().accept(record));
    }

    /** Restores the cluster and starts a scenario with its own history. */
    ScenarioRun beginScenario(String scenario) throws IOException {
        history.set(record -> {});
        cluster.endAllFaults();
        ScenarioRun run = new ScenarioRun(cluster, shape, scenario, directory);
        history.set(run.history());
        return run;
    }

    @Override
    public void close() {
        cluster.close();
    }
}
