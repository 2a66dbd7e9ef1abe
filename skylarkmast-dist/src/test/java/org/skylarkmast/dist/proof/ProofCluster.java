package org.skylarkmast.dist.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.LocalCluster;
import org.skylarkmast.bench.history.HistoryRecord;

/** A cluster that the scenarios of one test class share, one after the other. */
final class ProofCluster implements AutoCloseable {
    private final ClusterShape shape;
    private final Path folder;
    private final AtomicReference<Consumer<HistoryRecord>> history =
            new AtomicReference<>(record -> {});
    private final LocalCluster cluster;

    ProofCluster(String name, ClusterShape shape) throws IOException {
        this.shape = shape;
        this.folder = Path.of("target", "proofs", name).toAbsolutePath();
        Files.createDirectories(folder);
        this.cluster =
                LocalCluster.start(
                        shape,
                        Files.createTempDirectory(folder, "run"),
                        System.getProperty("java.class.path"),
                        record -> history.get().accept(record));
    }

    /** Begins a scenario with a history of its own. */
    ProofRun begin(String scenario) throws IOException {
        history.set(record -> {});
        cluster.endAllFaults();
        ProofRun run = new ProofRun(cluster, shape, scenario, folder);
        history.set(run.history());
        return run;
    }

    @Override
    public void close() {
        cluster.close();
    }
}
