package org.skylarkmast.bench.soak;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.skylarkmast.bench.CommandLineUtil;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.history.Violation;
import org.skylarkmast.bench.load.StandInAnswerRule;

/** Runs a soak from the command line; exits 0 only if no invariant was violated. */
public final class SoakMain {
    /** Average number of rounds per minute; a round is two faults and the pauses around them. */
    private static final int ROUNDS_PER_MINUTE = 4;

    private static final int EXIT_VIOLATED = 1;

    @Parameter(names = "--seed", description = "determines the load and the faults")
    private long seed = 1;

    @Parameter(
            names = "--minutes",
            description = "approximate time during which faults are injected")
    private int minutes = 1;

    @Parameter(
            names = "--rounds",
            description = "number of rounds of two faults; overrides --minutes")
    private int rounds;

    @Parameter(
            names = "--folder",
            description = "folder for history, logs and records",
            required = true)
    private String folder = "";

    @Parameter(names = "--help", help = true, description = "print this help")
    private boolean help;

    private SoakMain() {}

    /** Runs the soak. */
    public static void main(String[] arguments) throws IOException {
        SoakMain options = new SoakMain();
        if (!CommandLineUtil.parse("soak", options, () -> options.help, arguments)) {
            return;
        }
        System.exit(options.run());
    }

    private int run() throws IOException {
        Path runFolder = Path.of(folder).toAbsolutePath();
        Files.createDirectories(runFolder);
        int roundCount = rounds > 0 ? rounds : minutes * ROUNDS_PER_MINUTE;
        Soak soak =
                new Soak(
                        ClusterShape.small(),
                        runFolder,
                        System.getProperty("java.class.path"),
                        seed,
                        new StandInAnswerRule(),
                        System.out);
        List<Violation> violations = soak.run(roundCount);
        violations.forEach(System.out::println);
        System.out.println("soak: seed " + seed + ", violations " + violations.size());
        return violations.isEmpty() ? 0 : EXIT_VIOLATED;
    }
}
