package org.skylarkmast.bench.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.skylarkmast.bench.caller.CallerClient;
import org.skylarkmast.bench.cluster.Await;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.LocalCluster;
import org.skylarkmast.bench.history.AnswerRule;
import org.skylarkmast.bench.history.HistoryLog;
import org.skylarkmast.bench.history.Violation;
import org.skylarkmast.bench.load.LoadProfile;
import org.skylarkmast.bench.load.LoadRunner;
import org.skylarkmast.bench.load.ProgramResult;

/** A soak run: rounds of two simultaneous faults under the load of both users. */
public final class Soak {
    private static final long IDLE_TIMEOUT_MS = 40_000;
    private static final long CACHE_RELEASE_TIMEOUT_MS = 60_000;
    private static final int MAX_ATTEMPTS = 60;
    private static final int CONCURRENT_PROGRAMS = 8;
    private static final int MAX_PROGRAMS = 100_000;
    private static final long FAULT_DURATION_MS = 9_000;
    private static final long FAULT_INTERVAL_MS = 4_000;

    private final ClusterShape shape;
    private final Path folder;
    private final String classPath;
    private final long seed;
    private final AnswerRule answerRule;
    private final PrintStream out;

    /**
     * @param folder holds the history, settings, records and logs of the run
     * @param seed determines the load and the faults
     */
    public Soak(
            ClusterShape shape,
            Path folder,
            String classPath,
            long seed,
            AnswerRule answerRule,
            PrintStream out) {
        this.shape = shape;
        this.folder = folder;
        this.classPath = classPath;
        this.seed = seed;
        this.answerRule = answerRule;
        this.out = out;
    }

    /**
     * Runs {@code rounds} rounds and checks the history.
     *
     * @return the violations that the checker found
     * @throws IOException if a process of the cluster failed in a way that no fault explains
     */
    public List<Violation> run(int rounds) throws IOException {
        try (HistoryLog log = new HistoryLog(folder.resolve("history.jsonl"));
                LocalCluster cluster = LocalCluster.start(shape, folder, classPath, log);
                CallerClient client = new CallerClient(log, IDLE_TIMEOUT_MS)) {
            List<LoadRunner> loads =
                    List.of(
                            createLoad(client, cluster, LoadProfile.WORKSHOPS),
                            createLoad(client, cluster, LoadProfile.CONSORTIUM));
            loads.forEach(load -> load.start(CONCURRENT_PROGRAMS, MAX_PROGRAMS));
            SplittableRandom random = new SplittableRandom(seed);
            for (int round = 1; round <= rounds; round++) {
                runRound(cluster, round, random);
            }
            loads.forEach(LoadRunner::stop);
            for (LoadRunner load : loads) {
                report(load.await());
            }
            return new RunVerifier(cluster, shape, client, log, answerRule)
                    .verify(CACHE_RELEASE_TIMEOUT_MS);
        }
    }

    private LoadRunner createLoad(CallerClient client, LocalCluster cluster, LoadProfile profile) {
        return LoadRunner.onNodes(client, cluster.nodes(), profile, seed, MAX_ATTEMPTS);
    }

    private void runRound(LocalCluster cluster, int round, SplittableRandom random)
            throws IOException {
        Fault first = Fault.draw(cluster, random);
        Fault second = Fault.draw(cluster, random);
        while (second.process().equals(first.process())) {
            second = Fault.draw(cluster, random);
        }
        out.println("round " + round + ": " + first.name() + " of " + first.process());
        out.println("round " + round + ": " + second.name() + " of " + second.process());
        first.begin().apply(cluster);
        Await.pause(random.nextLong(FAULT_INTERVAL_MS));
        second.begin().apply(cluster);
        Await.pause(FAULT_DURATION_MS);
        first.end().apply(cluster);
        second.end().apply(cluster);
        cluster.recordRevisions();
        Await.pause(FAULT_INTERVAL_MS);
    }

    private void report(List<ProgramResult> results) {
        long succeeded = results.stream().filter(ProgramResult::succeeded).count();
        String workspace = results.isEmpty() ? "" : results.getFirst().script().workspace();
        out.println(
                workspace + ": " + succeeded + " of " + results.size() + " programs ended whole");
    }
}
