package org.skylarkmast.bench.recovery;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.ToLongFunction;
import org.skylarkmast.bench.CommandLineUtil;
import org.skylarkmast.bench.caller.CallerClient;
import org.skylarkmast.bench.caller.CallerOutcome;
import org.skylarkmast.bench.caller.CallerRequest;
import org.skylarkmast.bench.caller.RetryingCaller;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.LocalCluster;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.cluster.Signal;
import org.skylarkmast.bench.history.HistoryLog;
import org.skylarkmast.bench.history.HistoryRecord.Kind;
import org.skylarkmast.core.json.JsonUtil;

/** Measures recovery after kills of owners; prints each run, the median and the maximum times. */
public final class RecoveryMain {
    private static final long IDLE_TIMEOUT_MS = 40_000;
    private static final int MAX_ATTEMPTS = 1_000;
    private static final long NS_PER_MS = 1_000_000;

    @Parameter(names = "--runs", description = "number of kills to measure, in sequence")
    private int runs = 10;

    @Parameter(
            names = "--folder",
            description = "folder for history, logs and records",
            required = true)
    private String folder = "";

    @Parameter(names = "--help", help = true, description = "print this help")
    private boolean help;

    private RecoveryMain() {}

    /** Runs the measurement. */
    public static void main(String[] arguments) throws IOException {
        RecoveryMain options = new RecoveryMain();
        if (!CommandLineUtil.parse("recovery", options, () -> options.help, arguments)) {
            return;
        }
        options.run();
    }

    private void run() throws IOException {
        Path runFolder = Path.of(folder).toAbsolutePath();
        Files.createDirectories(runFolder);
        List<RecoveryRun> results = new ArrayList<>();
        ClusterShape shape = ClusterShape.small();
        String classPath = System.getProperty("java.class.path");
        try (HistoryLog log = new HistoryLog(runFolder.resolve("history.jsonl"));
                LocalCluster cluster = LocalCluster.start(shape, runFolder, classPath, log);
                CallerClient client = new CallerClient(log, IDLE_TIMEOUT_MS)) {
            for (int run = 1; run <= runs; run++) {
                results.add(measure(cluster, client, run));
                System.out.println(results.getLast());
            }
        }
        report(shape, results);
    }

    private static RecoveryRun measure(LocalCluster cluster, CallerClient client, int run)
            throws IOException {
        String program = "recovery-" + run;
        RetryingCaller caller =
                new RetryingCaller(client, cluster.nodes(), MAX_ATTEMPTS, hosts -> run % hosts);
        String ownerName = succeeded(caller.call(turn(program, 1))).owner();
        Node owner =
                cluster.nodes().stream()
                        .filter(node -> node.name().equals(ownerName))
                        .findFirst()
                        .orElseThrow();
        long killedNs = System.nanoTime();
        cluster.signal(ownerName, Signal.KILL);
        CompletableFuture<Long> allOwned =
                CompletableFuture.supplyAsync(() -> allOwnedMs(cluster, killedNs));
        succeeded(caller.call(turn(program, 2)));
        long nextTurnMs = elapsedMs(killedNs);
        RecoveryRun result = new RecoveryRun(run, nextTurnMs, allOwned.join());
        cluster.restart(owner);
        cluster.awaitAllPartitionsOwned();
        return result;
    }

    private static long allOwnedMs(LocalCluster cluster, long killedNs) {
        try {
            cluster.awaitAllPartitionsOwned();
        } catch (IOException e) {
            throw new CompletionException(e);
        }
        return elapsedMs(killedNs);
    }

    private static CallerOutcome.Succeeded succeeded(CallerOutcome outcome) throws IOException {
        if (outcome instanceof CallerOutcome.Succeeded success) {
            return success;
        }
        throw new IOException("request did not succeed: " + outcome);
    }

    private static CallerRequest turn(String program, int turn) {
        String key = program + ".t" + turn;
        return new CallerRequest(
                "workshops", program, key, Kind.MODEL, true, key + " the chain slips", true);
    }

    private static void report(ClusterShape shape, List<RecoveryRun> results) {
        Map<String, Object> report =
                Map.of(
                        "runs", results.size(),
                        "leaseTtlMs", shape.leaseTtlMs(),
                        "nextTurnMedianMs", median(results, RecoveryRun::nextTurnMs),
                        "nextTurnWorstMs", max(results, RecoveryRun::nextTurnMs),
                        "allOwnedMedianMs", median(results, RecoveryRun::allOwnedMs),
                        "allOwnedWorstMs", max(results, RecoveryRun::allOwnedMs));
        System.out.println(JsonUtil.MAPPER.writeValueAsString(report));
    }

    /** The upper median. */
    private static long median(List<RecoveryRun> results, ToLongFunction<RecoveryRun> durationMs) {
        return results.stream()
                .mapToLong(durationMs)
                .sorted()
                .skip(results.size() / 2)
                .findFirst()
                .orElse(0);
    }

    private static long max(List<RecoveryRun> results, ToLongFunction<RecoveryRun> durationMs) {
        return results.stream().mapToLong(durationMs).max().orElse(0);
    }

    private static long elapsedMs(long startNs) {
        return (System.nanoTime() - startNs) / NS_PER_MS;
    }
}
