package org.skylarkmast.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.UnixStyleUsageFormatter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.skylarkmast.core.config.FieldFormats;

/** Parses the command line and runs the command it names. */
public final class CommandLine {
    private static final String PROGRAM = "skylarkmast";
    private static final String KEY_ENVIRONMENT_VARIABLE = "SKYLARKMAST_KEY";

    private final PrintStream out;
    private final PrintStream err;
    private final Map<String, String> environment;

    private final Options.Global global = new Options.Global();
    private final Options.Apply apply = new Options.Apply();
    private final Options.Validate validate = new Options.Validate();
    private final Options.Get get = new Options.Get();
    private final Options.Delete delete = new Options.Delete();
    private final Options.Diff diff = new Options.Diff();
    private final Options.Programs programs = new Options.Programs();
    private final Options.History history = new Options.History();
    private final JCommander parser =
            JCommander.newBuilder()
                    .programName(PROGRAM)
                    .addObject(global)
                    .addCommand("apply", apply)
                    .addCommand("validate", validate)
                    .addCommand("get", get)
                    .addCommand("delete", delete)
                    .addCommand("diff", diff)
                    .addCommand("status", new Options.Status())
                    .addCommand("programs", programs)
                    .addCommand("history", history)
                    .addCommand("version", new Options.Version())
                    .build();

    /**
     * Creates a command line for one run.
     *
     * @param out receives results
     * @param err receives problems and errors
     * @param environment environment variables of the process
     */
    public CommandLine(PrintStream out, PrintStream err, Map<String, String> environment) {
        this.out = out;
        this.err = err;
        this.environment = Map.copyOf(environment);
        parser.setUsageFormatter(new UnixStyleUsageFormatter(parser));
    }

    /** Runs the command given by {@code args}. */
    public ExitCode run(String... args) {
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            return usageError(e.getMessage());
        }
        if (global.help) {
            out.println(usage());
            return ExitCode.OK;
        }
        String command = parser.getParsedCommand();
        if (command == null) {
            return usageError("expected a command");
        }
        if (!global.output.equals("table") && !global.output.equals("json")) {
            return usageError("--output: expected table or json, found " + global.output);
        }
        for (String server : global.servers) {
            if (!FieldFormats.isAddress(server)) {
                return usageError(
                        "--server: expected " + FieldFormats.ADDRESS_FORM + ", found " + server);
            }
        }
        if (global.timeoutMs < 1) {
            return usageError("--timeout-ms: expected at least 1, found " + global.timeoutMs);
        }
        String key;
        try {
            key = readKey();
        } catch (IOException e) {
            return usageError("--key-file: cannot read " + global.keyFile);
        }
        Output output = new Output(out, err, global.output.equals("json"));
        try (AdminClient client = new AdminClient(global.servers, key, global.timeoutMs)) {
            return run(command, client, output);
        }
    }

    /** Returns the complete usage text. */
    public String usage() {
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(text);
        text.append("\n  Exit status:\n");
        for (ExitCode code : ExitCode.values()) {
            text.append("    ").append(code.status()).append("  ").append(code.meaning());
            text.append('\n');
        }
        return text.toString();
    }

    private ExitCode run(String command, AdminClient client, Output output) {
        ObjectCommands objects = new ObjectCommands(client, output);
        QueryCommands queries = new QueryCommands(client, output);
        return switch (command) {
            case "apply" -> objects.apply(apply);
            case "delete" -> objects.delete(delete);
            case "validate" -> objects.validate(validate);
            case "diff" -> objects.diff(diff);
            case "get" -> queries.get(get);
            case "status" -> queries.status();
            case "programs" -> queries.programs(programs);
            case "history" -> queries.history(history);
            case "version" -> queries.version();
            default -> throw new IllegalStateException("command is not implemented: " + command);
        };
    }

    private String readKey() throws IOException {
        return global.keyFile.isEmpty()
                ? environment.getOrDefault(KEY_ENVIRONMENT_VARIABLE, "")
                : Files.readString(Path.of(global.keyFile)).strip();
    }

    private ExitCode usageError(String message) {
        err.println(PROGRAM + ": " + message);
        err.println("Try " + PROGRAM + " --help.");
        return ExitCode.USAGE;
    }
}
