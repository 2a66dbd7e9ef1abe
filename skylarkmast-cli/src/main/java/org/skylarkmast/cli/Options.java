package org.skylarkmast.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** The options and arguments of the commands; populated by JCommander. */
final class Options {
    private Options() {}

    /** Global options, given before the command. */
    static final class Global {
        @Parameter(
                names = "--server",
                description =
                        "ip:port of an administration port; may be repeated or given as a"
                                + " comma-separated list; tried in this order")
        List<String> servers = new ArrayList<>(List.of("127.0.0.1:8082"));

        @Parameter(
                names = "--key-file",
                description =
                        "File with the operator key; if not given, the environment variable"
                                + " SKYLARKMAST_KEY is used")
        String keyFile = "";

        @Parameter(names = "--output", description = "Output format: table or json")
        String output = "table";

        @Parameter(
                names = "--timeout-ms",
                description = "Longest time to wait for data from a server, in milliseconds")
        long timeoutMs = 30_000;

        @Parameter(names = "--help", help = true, description = "Shows this text")
        boolean help;
    }

    /** Options of the commands that publish a change. */
    static class Change {
        @Parameter(
                names = "--base-revision",
                description = "Publishes only if this revision is still in force")
        Long baseRevision;

        @Parameter(names = "--dry-run", description = "Validates the change without publishing it")
        boolean dryRun;

        @Parameter(
                names = "--write-id",
                description =
                        "Unique id of the change; repeating a change whose outcome is unknown with"
                                + " the id it printed is idempotent")
        String writeId;
    }

    @Parameters(commandDescription = "Adds or replaces the objects in files, all or none")
    static final class Apply extends Change {
        @Parameter(description = "FILE...", required = true)
        List<String> files = new ArrayList<>();
    }

    @Parameters(commandDescription = "Removes objects, all or none")
    static final class Delete extends Change {
        @Parameter(description = "KIND/NAME...", required = true)
        List<String> names = new ArrayList<>();
    }

    @Parameters(
            commandDescription = "Validates files together as one configuration, without a server")
    static final class Validate {
        @Parameter(description = "FILE...", required = true)
        List<String> files = new ArrayList<>();
    }

    @Parameters(commandDescription = "Shows what applying files would change")
    static final class Diff {
        @Parameter(description = "FILE...", required = true)
        List<String> files = new ArrayList<>();
    }

    @Parameters(commandDescription = "Shows the objects in force, or those of a kind or name")
    static final class Get {
        @Parameter(description = "[KIND or KIND/NAME]...")
        List<String> filters = new ArrayList<>();
    }

    @Parameters(commandDescription = "Shows the status of every server given by --server")
    static final class Status {}

    @Parameters(
            commandDescription = "Lists a workspace's programs on the servers given by --server")
    static final class Programs {
        @Parameter(names = "--workspace", required = true, description = "Name of the workspace")
        String workspace;
    }

    @Parameters(commandDescription = "Shows the history of one program, read-only")
    static final class History {
        @Parameter(description = "WORKSPACE PROGRAM", required = true, arity = 2)
        List<String> names = new ArrayList<>();
    }

    @Parameters(commandDescription = "Shows the version of this tool")
    static final class Version {}
}
