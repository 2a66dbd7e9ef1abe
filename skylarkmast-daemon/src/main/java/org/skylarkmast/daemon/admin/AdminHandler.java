package org.skylarkmast.daemon.admin;

import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.daemon.admin.HistorySource.HistoryOutcome;
import org.skylarkmast.daemon.problem.ProblemReply;
import org.skylarkmast.http.HttpHandler;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.ServerRequest;
import tools.jackson.databind.node.ObjectNode;

/**
 * Handles requests to the administration port.
 *
 * <p>Health checks and metrics need no authentication; every path below {@code /v1/} needs an
 * operator's bearer key. Thread-safe if its sources are.
 */
public final class AdminHandler implements HttpHandler {

    /** Maximum number of rows in a list of programs. */
    private static final int MAX_PROGRAM_ROWS = 1_000;

    private static final String PROGRAMS_PATH = "/v1/programs";
    private static final String HISTORY_SUFFIX = "/history";

    private final OperatorKeys operatorKeys;
    private final Readiness readiness;
    private final PrometheusRegistry metrics;
    private final ObjectsResource objects;
    private final StatusSource status;
    private final ProgramSource programs;
    private final HistorySource histories;
    private final PrometheusTextFormatWriter metricsWriter = PrometheusTextFormatWriter.create();

    /**
     * Creates a handler.
     *
     * @param operatorKeySha256 lower-case hex digests of the operators' bearer keys
     */
    public AdminHandler(
            List<String> operatorKeySha256,
            Readiness readiness,
            PrometheusRegistry metrics,
            ObjectsResource objects,
            StatusSource status,
            ProgramSource programs,
            HistorySource histories) {
        this.operatorKeys = new OperatorKeys(operatorKeySha256);
        this.readiness = readiness;
        this.metrics = metrics;
        this.objects = objects;
        this.status = status;
        this.programs = programs;
        this.histories = histories;
    }

    @Override
    public HttpReply handle(ServerRequest call) {
        return switch (call.path()) {
            case "/healthz" -> get(call, () -> HttpReply.text(200, "ok\n"));
            case "/readyz" -> get(call, this::readyz);
            case "/metrics" -> get(call, this::scrapeMetrics);
            default -> call.path().startsWith("/v1/") ? handleOperatorCall(call) : notFound(call);
        };
    }

    private HttpReply handleOperatorCall(ServerRequest call) {
        if (!operatorKeys.isAuthorized(call)) {
            return ProblemReply.unauthorized("expected a bearer key of an operator");
        }
        return switch (call.path()) {
            case "/v1/objects" ->
                    call.method().equals("PUT")
                            ? objects.put(call.body())
                            : get(call, objects::get, "GET, PUT");
            case "/v1/status" -> get(call, () -> json(status.status()));
            case PROGRAMS_PATH -> get(call, () -> listPrograms(call));
            default -> history(call);
        };
    }

    private HttpReply readyz() {
        return readiness
                .notReadyReason()
                .map(reason -> HttpReply.text(503, reason + "\n"))
                .orElseGet(() -> HttpReply.text(200, "ok\n"));
    }

    private HttpReply scrapeMetrics() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            metricsWriter.write(out, metrics.scrape(), EscapingScheme.UNDERSCORE_ESCAPING);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new HttpReply.Full(
                200, Map.of(), PrometheusTextFormatWriter.CONTENT_TYPE, out.toByteArray());
    }

    private HttpReply listPrograms(ServerRequest call) {
        String workspace = call.query().getOrDefault("workspace", "");
        if (workspace.isEmpty()) {
            return new ProblemReply(
                            400,
                            "malformed",
                            "Malformed request",
                            "expected the query parameter workspace")
                    .toReply();
        }
        return json(programs.programs(workspace, MAX_PROGRAM_ROWS));
    }

    /** Handles {@code /v1/programs/{workspace}/{id}/history}; an id may contain slashes. */
    private HttpReply history(ServerRequest call) {
        String path = call.path();
        int workspaceStart = PROGRAMS_PATH.length() + 1;
        int idStart = path.indexOf('/', workspaceStart) + 1;
        int idEnd = path.length() - HISTORY_SUFFIX.length();
        if (!path.startsWith(PROGRAMS_PATH + "/")
                || !path.endsWith(HISTORY_SUFFIX)
                || idStart == 0
                || idStart >= idEnd) {
            return notFound(call);
        }
        String workspace = path.substring(workspaceStart, idStart - 1);
        String id = path.substring(idStart, idEnd);
        return get(call, () -> reply(histories.history(workspace, id)));
    }

    private static HttpReply reply(HistoryOutcome outcome) {
        return switch (outcome) {
            case HistoryOutcome.Found found -> json(found.rows());
            case HistoryOutcome.Absent absent ->
                    new ProblemReply(404, "no-such-program", "No such program", "not known here")
                            .toReply();
            case HistoryOutcome.OwnedElsewhere elsewhere -> {
                ObjectNode extension =
                        JsonUtil.MAPPER.createObjectNode().put("node", elsewhere.node());
                yield new ProblemReply(
                                404,
                                "owned-elsewhere",
                                "Program of another node",
                                "ask the node that owns the program")
                        .toReply(extension);
            }
        };
    }

    private static HttpReply json(Object body) {
        return HttpReply.json(200, JsonUtil.MAPPER.writeValueAsString(body));
    }

    private static HttpReply get(ServerRequest call, Supplier<HttpReply> reply) {
        return get(call, reply, "GET");
    }

    private static HttpReply get(ServerRequest call, Supplier<HttpReply> reply, String allowed) {
        if (call.method().equals("GET")) {
            return reply.get();
        }
        byte[] body =
                JsonUtil.toBytes(
                        new ProblemReply(
                                        405,
                                        "method-not-allowed",
                                        "Method not allowed",
                                        "expected " + allowed)
                                .toJson());
        return new HttpReply.Full(405, Map.of("Allow", allowed), "application/problem+json", body);
    }

    private static HttpReply notFound(ServerRequest call) {
        return new ProblemReply(404, "not-found", "Not found", "nothing at " + call.path())
                .toReply();
    }
}
