package org.skylarkmast.bench.compare;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.skylarkmast.bench.CommandLineUtil;
import org.skylarkmast.bench.caller.CallerClient;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.LocalCluster;
import org.skylarkmast.bench.cluster.Runner;
import org.skylarkmast.bench.history.HistoryLog;
import org.skylarkmast.bench.load.LoadProfile;
import org.skylarkmast.bench.load.LoadRunner;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.http.HttpClient;

/** Runs both policies with each seed and writes {@code bench.json} and {@code bench.html}. */
public final class CompareMain {
    private static final int MAX_ATTEMPTS = 20;
    private static final long SILENCE_TIMEOUT_MS = 60_000;

    @Parameter(names = "--profile", description = "workshops or consortium")
    private String profile = "workshops";

    @Parameter(names = "--seeds", description = "seeds, each run with both policies")
    private List<Long> seeds = List.of(1L, 2L, 3L);

    @Parameter(names = "--programs", description = "number of programs in each run")
    private int programs = 60;

    @Parameter(names = "--concurrent", description = "number of programs that run concurrently")
    private int concurrent = 12;

    @Parameter(
            names = "--full-size",
            description = "run as many nodes and runners as the profile's users have")
    private boolean fullSize;

    @Parameter(
            names = "--folder",
            description = "folder for reports, logs and records",
            required = true)
    private String folder = "";

    @Parameter(names = "--help", help = true, description = "print this text")
    private boolean help;

    private CompareMain() {}

    /** Runs the comparison. */
    public static void main(String[] arguments) throws IOException {
        CompareMain options = new CompareMain();
        if (!CommandLineUtil.parse("bench", options, () -> options.help, arguments)) {
            return;
        }
        options.run();
    }

    private void run() throws IOException {
        Path runFolder = Path.of(folder).toAbsolutePath();
        Files.createDirectories(runFolder);
        List<PolicyResult> results = new ArrayList<>();
        try (HistoryLog log = new HistoryLog(runFolder.resolve("history.jsonl"));
                LocalCluster cluster =
                        LocalCluster.start(
                                shape(), runFolder, System.getProperty("java.class.path"), log);
                CallerClient client = new CallerClient(log, SILENCE_TIMEOUT_MS);
                HttpClient http = new HttpClient(concurrent, 2_000)) {
            for (long seed : seeds) {
                RoundRobinCaller baseline =
                        new RoundRobinCaller(http, cluster.engines(), cluster.services());
                results.add(
                        measure(
                                cluster,
                                "round-robin",
                                seed,
                                new LoadRunner(load(), seed, index -> baseline::call)));
                results.add(
                        measure(
                                cluster,
                                "skylarkmast",
                                seed,
                                LoadRunner.onNodes(
                                        client, cluster.nodes(), load(), seed, MAX_ATTEMPTS)));
            }
        }
        Files.write(runFolder.resolve("bench.json"), JsonUtil.toBytes(results));
        Files.writeString(runFolder.resolve("bench.html"), ComparePage.html(profile, results));
        System.out.println(JsonUtil.MAPPER.writeValueAsString(results));
    }

    private PolicyResult measure(LocalCluster cluster, String policy, long seed, LoadRunner load)
            throws IOException {
        for (Runner engine : cluster.engines()) {
            cluster.injectFaults(engine.name(), Map.of("forgetCache", true));
            cluster.clearFaults(engine.name());
        }
        long startNs = System.nanoTime();
        load.start(concurrent, programs);
        PolicyResult result =
                PolicyResult.of(
                        policy, seed, load.await(), (System.nanoTime() - startNs) / 1_000_000);
        System.out.println(result);
        return result;
    }

    private LoadProfile load() {
        return profile.equals("consortium") ? LoadProfile.CONSORTIUM : LoadProfile.WORKSHOPS;
    }

    private ClusterShape shape() {
        if (!fullSize) {
            return ClusterShape.small();
        }
        return profile.equals("consortium") ? ClusterShape.consortium() : ClusterShape.workshops();
    }
}
