package org.skylarkmast.bench.decision;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.skylarkmast.bench.CommandLineUtil;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.scheduling.Mechanism;

/** Runs the decision benchmark and prints a table; writes JSON and HTML on request. */
public final class DecisionBench {
    private static final List<PolicyUnderTest> POLICIES =
            List.of(
                    new PolicyUnderTest.Baseline(BaselinePolicy.RunnerSelection.ROUND_ROBIN),
                    new PolicyUnderTest.Baseline(BaselinePolicy.RunnerSelection.LEAST_LOADED),
                    PolicyUnderTest.Product.withAllMechanisms());
    private static final List<Double> LOAD_FACTORS = List.of(0.5, 0.75, 1.0, 1.2, 1.43, 1.8, 2.86);

    @Parameter(
            names = "--part",
            description = "profiles, faults, load, ablation or growth; all if not given")
    private List<String> parts =
            new ArrayList<>(List.of("profiles", "faults", "load", "ablation", "growth"));

    @Parameter(names = "--seeds", description = "Seeds, separated by commas")
    private List<Long> seeds = new ArrayList<>(BenchRuns.SEEDS);

    @Parameter(names = "--json", description = "File to write the results to as JSON")
    private String jsonFile = "";

    @Parameter(names = "--html", description = "File to write a page with charts to")
    private String htmlFile = "";

    @Parameter(names = "--help", help = true, description = "Print this text")
    private boolean help;

    private final List<BenchRuns.Series> allSeries = new ArrayList<>();
    private final PrintStream out;

    private DecisionBench(PrintStream out) {
        this.out = out;
    }

    /** Runs the parts named on the command line. */
    public static void main(String[] arguments) throws IOException {
        DecisionBench bench = new DecisionBench(System.out);
        if (CommandLineUtil.parse("decision-bench", bench, () -> bench.help, arguments)) {
            bench.run();
        }
    }

    private void run() throws IOException {
        List<LoadProfile> profiles = List.of(LoadProfile.workshops(), LoadProfile.consortium());
        out.println(BenchTable.HEADER);
        for (String part : parts) {
            switch (part) {
                case "profiles" -> runProfiles(profiles);
                case "faults" -> runFaults(profiles);
                case "load" -> runLoads(profiles);
                case "ablation" -> runAblation(profiles);
                case "growth" -> runProfiles(List.of(LoadProfile.growth()));
                default -> throw new IllegalArgumentException("unknown part: " + part);
            }
        }
        if (!jsonFile.isEmpty()) {
            Files.write(Path.of(jsonFile), JsonUtil.toBytes(allSeries));
        }
        if (!htmlFile.isEmpty()) {
            Files.writeString(Path.of(htmlFile), BenchHtmlReport.render(allSeries));
        }
    }

    private void runProfiles(List<LoadProfile> profiles) {
        for (LoadProfile profile : profiles) {
            for (PolicyUnderTest policy : POLICIES) {
                add(BenchRuns.run(profile, Fault.Kind.NONE, policy, seeds));
            }
        }
    }

    private void runFaults(List<LoadProfile> profiles) {
        for (LoadProfile profile : profiles) {
            for (Fault.Kind fault : Fault.Kind.values()) {
                if (fault != Fault.Kind.NONE) {
                    POLICIES.forEach(policy -> add(BenchRuns.run(profile, fault, policy, seeds)));
                }
            }
        }
    }

    private void runLoads(List<LoadProfile> profiles) {
        for (LoadProfile profile : profiles) {
            for (double factor : LOAD_FACTORS) {
                POLICIES.forEach(
                        policy -> add(BenchRuns.runSteady(profile, factor, policy, seeds)));
            }
        }
    }

    private void runAblation(List<LoadProfile> profiles) {
        List<PolicyUnderTest> policies =
                new ArrayList<>(List.of(PolicyUnderTest.Product.withAllMechanisms()));
        for (Mechanism mechanism : Mechanism.values()) {
            policies.add(PolicyUnderTest.Product.withoutMechanism(mechanism));
        }
        for (PolicyUnderTest policy : policies) {
            for (LoadProfile profile : profiles) {
                add(BenchRuns.run(profile, Fault.Kind.NONE, policy, seeds));
                add(BenchRuns.run(profile, Fault.Kind.RUNNER_SLOWS, policy, seeds));
                add(BenchRuns.run(profile, Fault.Kind.DOMAIN_GOES, policy, seeds));
                add(BenchRuns.runSteady(profile, 2, policy, seeds));
            }
        }
    }

    private void add(BenchRuns.Series series) {
        allSeries.add(series);
        out.println(BenchTable.row(series));
    }
}
