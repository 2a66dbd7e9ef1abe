package org.skylarkmast.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** The read-only commands. */
final class QueryCommands {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final List<String> OBJECT_COLUMNS = List.of("kind", "name", "fields");
    private static final List<String> STATUS_COLUMNS =
            List.of(
                    "server",
                    "node",
                    "failureDomain",
                    "ready",
                    "storeReachable",
                    "configurationRevision",
                    "partitionsOwned",
                    "programsHeld",
                    "callsUnderWay",
                    "callsQueued");
    private static final List<String> PROGRAM_COLUMNS =
            List.of("id", "template", "state", "partition", "turns", "tokensSpent", "idleMs");
    private static final List<String> HISTORY_COLUMNS = List.of("turn", "agent", "role", "content");

    private final AdminClient client;
    private final Output output;

    QueryCommands(AdminClient client, Output output) {
        this.client = client;
        this.output = output;
    }

    ExitCode get(Options.Get options) {
        return switch (client.get("/v1/objects")) {
            case AdminReply.Unreachable unreachable -> ErrorReporter.report(output, unreachable);
            case AdminReply.Answered answered ->
                    answered.status() == OK
                            ? printObjects(answered.body(), options.filters)
                            : ErrorReporter.report(output, answered);
        };
    }

    ExitCode status() {
        return printFromAll(
                "/v1/status",
                STATUS_COLUMNS,
                (answered, rows) -> {
                    ObjectNode row = JsonUtil.MAPPER.createObjectNode();
                    row.put("server", answered.server());
                    if (answered.body() instanceof ObjectNode status) {
                        row.setAll(status);
                    }
                    rows.add(row);
                });
    }

    ExitCode programs(Options.Programs options) {
        String workspace = URLEncoder.encode(options.workspace, StandardCharsets.UTF_8);
        return printFromAll(
                "/v1/programs?workspace=" + workspace,
                PROGRAM_COLUMNS,
                (answered, rows) -> answered.body().forEach(rows::add));
    }

    /** Queries every server, since only the owner of a program has its history. */
    ExitCode history(Options.History options) {
        if (options.names.size() != 2) {
            output.error("expected a workspace and a program");
            return ExitCode.USAGE;
        }
        String path = historyPath(options.names.get(0), options.names.get(1));
        AdminReply last = null;
        for (AdminReply reply : client.getFromAll(path)) {
            if (reply instanceof AdminReply.Answered answered && answered.status() == OK) {
                List<JsonNode> rows = new ArrayList<>();
                answered.body().forEach(rows::add);
                print(HISTORY_COLUMNS, rows);
                return ExitCode.OK;
            }
            boolean notFound =
                    reply instanceof AdminReply.Answered answered && answered.status() == NOT_FOUND;
            last = last == null || !notFound ? reply : last;
        }
        return switch (last) {
            case AdminReply.Answered answered -> ErrorReporter.report(output, answered);
            case AdminReply.Unreachable unreachable -> ErrorReporter.report(output, unreachable);
        };
    }

    ExitCode version() {
        Properties properties = new Properties();
        try (InputStream in = QueryCommands.class.getResourceAsStream("version.properties")) {
            properties.load(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        output.line("skylarkmast " + properties.getProperty("version"));
        return ExitCode.OK;
    }

    /** Converts the answer of a server to table rows. */
    @FunctionalInterface
    private interface RowCollector {
        void collect(AdminReply.Answered answered, List<JsonNode> rows);
    }

    /**
     * Prints the answers of all servers. A server that does not answer is reported, and determines
     * the exit code.
     */
    private ExitCode printFromAll(String path, List<String> columns, RowCollector collector) {
        List<JsonNode> rows = new ArrayList<>();
        ExitCode code = ExitCode.OK;
        for (AdminReply reply : client.getFromAll(path)) {
            switch (reply) {
                case AdminReply.Answered answered -> {
                    if (answered.status() == OK) {
                        collector.collect(answered, rows);
                    } else {
                        code = ErrorReporter.report(output, answered);
                    }
                }
                case AdminReply.Unreachable unreachable ->
                        code = ErrorReporter.report(output, unreachable);
            }
        }
        print(columns, rows);
        return code;
    }

    private ExitCode printObjects(JsonNode body, List<String> filters) {
        List<JsonNode> rows = new ArrayList<>();
        for (JsonNode object : body.path("objects")) {
            String kind = object.path("kind").asString("");
            String name = kind + "/" + object.path("name").asString("");
            if (filters.isEmpty() || filters.contains(kind) || filters.contains(name)) {
                rows.add(object);
            }
        }
        if (output.isJson()) {
            print(OBJECT_COLUMNS, rows);
            return ExitCode.OK;
        }
        output.line("revision " + body.path("revision").asLong());
        output.table(OBJECT_COLUMNS, rows.stream().map(QueryCommands::toObjectRow).toList());
        return ExitCode.OK;
    }

    private static JsonNode toObjectRow(JsonNode object) {
        ObjectNode fields = ((ObjectNode) object).deepCopy();
        ObjectNode row = JsonUtil.MAPPER.createObjectNode();
        row.set("kind", fields.remove("kind"));
        row.set("name", fields.remove("name"));
        row.set("fields", fields);
        return row;
    }

    private void print(List<String> columns, List<JsonNode> rows) {
        if (output.isJson()) {
            ArrayNode list = JsonUtil.MAPPER.createArrayNode();
            rows.forEach(list::add);
            output.json(list);
        } else {
            output.table(columns, rows);
        }
    }

    private static String historyPath(String workspace, String id) {
        try {
            String path = "/v1/programs/" + workspace + "/" + id + "/history";
            return new URI(null, null, path, null).getRawPath();
        } catch (URISyntaxException e) {
            throw new IllegalStateException("history path cannot be encoded as a URI", e);
        }
    }
}
