package org.skylarkmast.daemon.admin;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.ConfigurationChunks;
import org.skylarkmast.core.config.Priority;
import org.skylarkmast.core.config.Problem;
import org.skylarkmast.core.config.PublishOutcome;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.daemon.admin.HistorySource.HistoryOutcome;
import org.skylarkmast.daemon.configuration.ConfigurationPublisher;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.ServerRequest;
import tools.jackson.databind.JsonNode;

class AdminHandlerTest {
    private static final String KEY = "operator-key";
    private static final Configuration CURRENT =
            Configuration.of(4, List.of(new Priority("p", 1, 2)));

    private final PrometheusRegistry metrics = new PrometheusRegistry();
    private final List<ConfigurationPublisher.Request> requests = new ArrayList<>();
    private final List<String> historiesRead = new ArrayList<>();
    private PublishOutcome publishOutcome = new PublishOutcome.Published(5);
    private Optional<String> notReadyReason = Optional.empty();
    private HistoryOutcome historyOutcome = new HistoryOutcome.Absent();

    private final AdminHandler handler =
            new AdminHandler(
                    List.of(ConfigurationChunks.sha256(KEY.getBytes(StandardCharsets.UTF_8))),
                    () -> notReadyReason,
                    metrics,
                    new ObjectsResource(() -> CURRENT, this::publish, () -> "generated"),
                    () ->
                            new StatusSource.NodeStatus(
                                    "entry-1", "i", "a", true, false, true, 4, 1, 2, 3, 4,
                                    List.of(), List.of()),
                    (workspace, limit) ->
                            List.of(
                                    new ProgramSource.ProgramRow(
                                            workspace, "x", "t", "ACTIVE", 1, 2, 3, 4, 5, 6)),
                    (workspace, id) -> {
                        historiesRead.add(workspace + " " + id);
                        return historyOutcome;
                    });

    @ParameterizedTest
    @ValueSource(strings = {"", "Bearer", "Bearer wrong", "Basic operator-key"})
    void rejectsRequestsWithoutAnOperatorKey(String authorization) {
        for (String path : List.of("/v1/objects", "/v1/status", "/v1/programs", "/v1/nothing")) {
            ServerRequest call =
                    new ServerRequest(
                            "PUT",
                            path,
                            Map.of(),
                            Map.of("authorization", authorization),
                            bytes("{\"delete\":[]}"));
            assertThat(handler.handle(call)).isInstanceOf(HttpReply.Full.class);
            assertThat(((HttpReply.Full) handler.handle(call)).status()).isEqualTo(401);
        }
        assertThat(requests).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /healthz, 200",
        "GET, /metrics, 200",
        "GET, /nothing, 404",
        "GET, /v1/nothing, 404",
        "POST, /v1/objects, 405",
        "DELETE, /v1/status, 405",
        "GET, /v1/programs, 400",
        "POST, /healthz, 405",
        "GET, /v1/programs/ws/history, 404",
        "GET, /v1/programs/ws/id, 404",
        "PUT, /v1/programs/ws/id/history, 405"
    })
    void returnsTheExpectedStatusCode(String method, String path, int status) {
        assertThat(send(method, path, "").status()).isEqualTo(status);
    }

    @Test
    void reportsReadiness() {
        assertThat(send("GET", "/readyz", "").status()).isEqualTo(200);
        notReadyReason = Optional.of("draining");
        assertThat(send("GET", "/readyz", "").status()).isEqualTo(503);
    }

    @Test
    void exposesMetricsAsPrometheusText() {
        Counter.builder().name("things_total").help("Things.").register(metrics).inc(3);
        assertThat(text(send("GET", "/metrics", ""))).contains("things_total 3.0");
    }

    @Test
    void readsObjectsStatusAndPrograms() {
        assertThat(body(send("GET", "/v1/objects", "")).toString())
                .isEqualTo(
                        "{\"revision\":4,\"objects\":[{\"kind\":\"priority\",\"name\":\"p\","
                                + "\"level\":1,\"maxWaitMs\":2}]}");
        assertThat(body(send("GET", "/v1/status", "")).path("node").asString())
                .isEqualTo("entry-1");
        ServerRequest list =
                new ServerRequest(
                        "GET",
                        "/v1/programs",
                        Map.of("workspace", "bangkok"),
                        Map.of("authorization", "bearer " + KEY),
                        new byte[0]);
        assertThat(text((HttpReply.Full) handler.handle(list))).contains("bangkok");
    }

    @Test
    void readsHistoriesOfProgramsAndSubAgents() {
        historyOutcome =
                new HistoryOutcome.Found(
                        List.of(new HistorySource.HistoryRow(1, "root", "user", "hello")));
        assertThat(text(send("GET", "/v1/programs/ws/root/child/history", ""))).contains("hello");
        assertThat(historiesRead).containsExactly("ws root/child");
        historyOutcome = new HistoryOutcome.OwnedElsewhere("entry-2");
        HttpReply.Full elsewhere = send("GET", "/v1/programs/ws/root/history", "");
        assertThat(elsewhere.status()).isEqualTo(404);
        assertThat(body(elsewhere).path("node").asString()).isEqualTo("entry-2");
    }

    @Test
    void passesChangesToThePublisher() {
        String change =
                "{\"baseRevision\":4,\"dryRun\":true,\"writeId\":\"12345678\",\"apply\":[{\"kind\":"
                        + "\"priority\",\"name\":\"q\",\"level\":1,\"maxWaitMs\":5}],"
                        + "\"delete\":[{\"kind\":\"priority\",\"name\":\"p\"}]}";
        assertThat(text(send("PUT", "/v1/objects", change))).isEqualTo("{\"revision\":5}");
        ConfigurationPublisher.Request request = requests.getFirst();
        assertThat(request.baseRevision()).isEqualTo(OptionalLong.of(4));
        assertThat(request.dryRun()).isTrue();
        assertThat(request.writeId()).isEqualTo("12345678");
        assertThat(request.changes().apply().getFirst().object().name()).isEqualTo("q");
        assertThat(request.changes().delete().getFirst().toString()).isEqualTo("priority/p");
        send("PUT", "/v1/objects", "{\"baseRevision\":null}");
        assertThat(requests.getLast().baseRevision()).isEqualTo(OptionalLong.empty());
        assertThat(requests.getLast().writeId()).isEqualTo("generated");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{ | 400 | not JSON",
                "[] | 400 | JSON object",
                "{\"aply\":[]} | 422 | unknown field",
                "{\"apply\":{}} | 422 | expected a list",
                "{\"apply\":[{\"kind\":\"x\"}]} | 422 | expected one of workspace",
                "{\"delete\":[{\"kind\":\"model\"}]} | 422 | expected kind and name",
                "{\"delete\":3} | 422 | expected a list",
                "{\"baseRevision\":-1} | 422 | expected a revision",
                "{\"baseRevision\":\"4\"} | 422 | expected a revision",
                "{\"dryRun\":\"yes\"} | 422 | expected true or false",
                "{\"writeId\":\"a b\"} | 422 | expected 8 to 64",
            })
    void rejectsInvalidChangesWithoutPublishing(String change, int status, String detail) {
        HttpReply.Full reply = send("PUT", "/v1/objects", change);
        assertThat(reply.status()).isEqualTo(status);
        assertThat(reply.contentType()).isEqualTo("application/problem+json");
        assertThat(text(reply)).contains(detail);
        assertThat(body(reply).path("execution").asString()).isEqualTo("not-run");
        assertThat(requests).isEmpty();
    }

    static List<Object[]> publishOutcomes() {
        return List.of(
                new Object[] {new PublishOutcome.Conflict(3, 4), 409, "\"revisionInForce\":4"},
                new Object[] {new PublishOutcome.Unavailable("down"), 503, "not-run"},
                new Object[] {new PublishOutcome.Unknown("w1", "r"), 503, "\"writeId\":\"w1\""},
                new Object[] {
                    new PublishOutcome.Invalid(
                            List.of(new Problem("apply", 0, "priority/p", "level", "wrong"))),
                    422,
                    "\"message\":\"wrong\""
                });
    }

    @ParameterizedTest
    @MethodSource("publishOutcomes")
    void reportsTheOutcomeOfAChange(PublishOutcome outcome, int status, String expectedText) {
        publishOutcome = outcome;
        HttpReply.Full reply = send("PUT", "/v1/objects", "{}");
        assertThat(reply.status()).isEqualTo(status);
        assertThat(text(reply)).contains(expectedText);
        assertThat(reply.headers().getOrDefault("Retry-After", ""))
                .isEqualTo(status == 503 ? "5" : "");
        assertThat(body(reply).path("execution").asString())
                .isEqualTo(outcome instanceof PublishOutcome.Unknown ? "unknown" : "not-run");
    }

    private PublishOutcome publish(ConfigurationPublisher.Request request) {
        requests.add(request);
        return publishOutcome;
    }

    private HttpReply.Full send(String method, String path, String body) {
        return (HttpReply.Full)
                handler.handle(
                        new ServerRequest(
                                method,
                                path,
                                Map.of(),
                                Map.of("authorization", "Bearer " + KEY),
                                bytes(body)));
    }

    private static JsonNode body(HttpReply.Full reply) {
        return JsonUtil.MAPPER.readTree(reply.body());
    }

    private static String text(HttpReply.Full reply) {
        return new String(reply.body(), StandardCharsets.UTF_8);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
