package org.skylarkmast.bench.soak;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.skylarkmast.bench.CommandLineUtil;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.history.Violation;
import org.skylarkmast.bench.load.StandInAnswers;

/** Runs a soak from the command line; exits 0 only if no invariant was violated. */
public final class SoakMain {
    /** A round's two faults with the pauses around them, on average. */
    private static final int ROUNDS_PER_MINUTE = 4;

    private static final int VIOLATED = 1;

    @Parameter(names = "--seed", description = "decides the load and the faults")
    private long seed = 1;

    @Parameter(names = "--minutes", description = "how long faults are injected, about")
    private int minutes = 1;

    @Parameter(names = "--rounds", description = "rounds of two faults, in place of --minutes")
    private int rounds;

    @Parameter(names = "--folder", description = "keeps history, logs and records", required = true)
    private String folder = "";

    @Parameter(names = "--help", help = true, description = "prints this")
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
        int count = rounds > 0 ? rounds : minutes * ROUNDS_PER_MINUTE;
        Soak soak =
                new Soak(
                        ClusterShape.small(),
                        runFolder,
                        System.getProperty("java.class.path"),
                        seed,
                        new StandInAnswers(),
                        System.out);
        List<Violation> violations = soak.run(count);
        violations.forEach(System.out::println);
        System.out.println("soak: seed " + seed + ", violations " + violations.size());
        return violations.isEmpty() ? 0 : VIOLATED;
    }
}
