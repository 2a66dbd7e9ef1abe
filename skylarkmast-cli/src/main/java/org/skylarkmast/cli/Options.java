package org.skylarkmast.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** What may stand on the command line; filled in by JCommander. */
final class Options {
    private Options() {}

    /** Options before the command. */
    static final class Global {
        @Parameter(
                names = "--server",
                description =
                        "ip:port of an administration port; may be given several times or as a list"
                                + " with commas; tried in turn")
        List<String> servers = new ArrayList<>(List.of("127.0.0.1:8082"));

        @Parameter(
                names = "--key-file",
                description =
                        "File that holds the operator key; without it the environment variable"
                                + " SKYLARKMAST_KEY is used")
        String keyFile = "";

        @Parameter(names = "--output", description = "Form of the output: table or json")
        String output = "table";

        @Parameter(
                names = "--timeout-ms",
                description = "Longest silence of a server to bear, in milliseconds")
        long timeoutMs = 30_000;

        @Parameter(names = "--help", help = true, description = "Shows this text")
        boolean help;
    }

    /** Options of every command that publishes. */
    static class Change {
        @Parameter(
                names = "--base-revision",
                description = "Publishes only if this revision is still in force")
        Long baseRevision;

        @Parameter(names = "--dry-run", description = "Checks the change without publishing it")
        boolean dryRun;

        @Parameter(
                names = "--write-id",
                description =
                        "Unique id of the change; repeating a change whose outcome is unknown with"
                                + " the id it printed is idempotent")
        String writeId;
    }

    /** Command {@code apply}. */
    @Parameters(commandDescription = "Adds or replaces the objects in files, all or none")
    static final class Apply extends Change {
        @Parameter(description = "FILE...", required = true)
        List<String> files = new ArrayList<>();
    }

    /** Command {@code delete}. */
    @Parameters(commandDescription = "Removes objects, all or none")
    static final class Delete extends Change {
        @Parameter(description = "KIND/NAME...", required = true)
        List<String> names = new ArrayList<>();
    }

    /** Command {@code validate}. */
    @Parameters(commandDescription = "Checks files as one whole set, without a server")
    static final class Validate {
        @Parameter(description = "FILE...", required = true)
        List<String> files = new ArrayList<>();
    }

    /** Command {@code diff}. */
    @Parameters(commandDescription = "Shows what applying files would change")
    static final class Diff {
        @Parameter(description = "FILE...", required = true)
        List<String> files = new ArrayList<>();
    }

    /** Command {@code get}. */
    @Parameters(commandDescription = "Shows the objects in force, or those of a kind or name")
    static final class Get {
        @Parameter(description = "[KIND or KIND/NAME]...")
        List<String> filters = new ArrayList<>();
    }

    /** Command {@code status}. */
    @Parameters(commandDescription = "Shows the state of every server named")
    static final class Status {}

    /** Command {@code programs}. */
    @Parameters(commandDescription = "Lists a workspace's programs held by the servers named")
    static final class Programs {
        @Parameter(names = "--workspace", required = true, description = "Name of the workspace")
        String workspace;
    }

    /** Command {@code history}. */
    @Parameters(commandDescription = "Shows the history of one program, read-only")
    static final class History {
        @Parameter(description = "WORKSPACE PROGRAM", required = true, arity = 2)
        List<String> names = new ArrayList<>();
    }

    /** Command {@code version}. */
    @Parameters(commandDescription = "Shows the version of this tool")
    static final class Version {}
}
