package org.skylarkmast.bench.caller;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.history.HistoryRecord;
import org.skylarkmast.bench.history.HistoryRecord.CallerAnswered;
import org.skylarkmast.bench.history.HistoryRecord.CallerDisconnected;
import org.skylarkmast.bench.history.HistoryRecord.CallerSent;
import org.skylarkmast.bench.history.HistoryRecord.Execution;
import org.skylarkmast.bench.history.HistoryRecord.Kind;
import org.skylarkmast.http.HttpHandler;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.HttpServer;

class CallerClientTest {
    private static final int MAX_BODY_BYTES = 10_000;
    private static final long SILENCE_TIMEOUT_MS = 60_000;
    private static final String CONTENT_CHUNK =
            "data: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n";
    private static final String METADATA_CHUNK =
            "data: {\"choices\":[],\"skylarkmast\":{\"owner\":\"host-2\","
                    + "\"turn\":3,\"budgetLeftTokens\":70}}\n\n";
    private static final String DONE = "data: [DONE]\n\n";

    private final List<HistoryRecord> history = Collections.synchronizedList(new ArrayList<>());

    @ParameterizedTest(name = "{0}")
    @MethodSource("answers")
    void returnsOutcomeOfAnswer(
            String name, boolean streamed, HttpReply reply, CallerOutcome expected)
            throws IOException {
        CallerOutcome outcome = send(call -> reply, request(Kind.MODEL, streamed));
        assertThat(withoutTimes(outcome)).isEqualTo(expected);
    }

    static Stream<Arguments> answers() {
        String body =
                "{\"choices\":[{\"message\":{\"content\":\"w1-0\"}}],"
                        + "\"skylarkmast\":{\"owner\":\"host-2\",\"turn\":3,"
                        + "\"budgetLeftTokens\":70}}";
        String problem =
                "{\"status\":503,\"detail\":\"draining\",\"execution\":\"not-run\","
                        + "\"retryAfterMs\":9}";
        CallerOutcome refused = new CallerOutcome.Refused(503, Execution.NOT_RUN, 9, "draining");
        return Stream.of(
                arguments("complete answer", false, HttpReply.json(200, body), succeeded("w1-0")),
                arguments(
                        "streamed answer",
                        true,
                        stream(
                                CONTENT_CHUNK.formatted("w1-0")
                                        + CONTENT_CHUNK.formatted(" w1-1")
                                        + METADATA_CHUNK
                                        + DONE),
                        succeeded("w1-0 w1-1")),
                arguments(
                        "stream without its end-of-stream marker",
                        true,
                        stream(CONTENT_CHUNK.formatted("w1-0") + METADATA_CHUNK),
                        new CallerOutcome.Disconnected(true, "stream ended without its end mark")),
                arguments(
                        "error within a stream",
                        true,
                        stream(
                                CONTENT_CHUNK.formatted("w1-0")
                                        + "event: error\ndata: "
                                        + problem
                                        + "\n\n"),
                        refused),
                arguments("refusal", true, HttpReply.json(503, problem), refused),
                arguments(
                        "error that is not JSON",
                        false,
                        HttpReply.text(500, "internal error"),
                        new CallerOutcome.Refused(500, Execution.UNSTATED, -1, "")));
    }

    @Test
    void recordsRequestAndAnswer() throws IOException {
        send(call -> HttpReply.json(201, "{\"order\":\"k1\"}"), request(Kind.SERVICE, false));
        assertThat(history).hasSize(2);
        CallerSent sent = (CallerSent) history.get(0);
        assertThat(sent.program()).isEqualTo("workshops:bike");
        assertThat(((CallerAnswered) history.get(1)).text()).contains("k1");
        assertThat(((CallerAnswered) history.get(1)).attempt()).isEqualTo(sent.attempt());
    }

    @Test
    void recordsRefusedConnectionAsNotConnected() throws IOException {
        HttpServer server = serve(call -> HttpReply.text(200, ""));
        Node node = node(server);
        server.close();
        try (CallerClient client = new CallerClient(history::add, SILENCE_TIMEOUT_MS)) {
            client.send(node, request(Kind.MODEL, true));
        }
        assertThat(((CallerDisconnected) history.get(1)).connected()).isFalse();
    }

    @Test
    void retriesAtAnotherHostWithSameKey() throws IOException {
        HttpHandler busy = call -> HttpReply.json(503, "{\"execution\":\"not-run\"}");
        HttpHandler done = call -> HttpReply.json(201, "{}");
        try (HttpServer first = serve(busy);
                HttpServer second = serve(done);
                CallerClient client = new CallerClient(history::add, SILENCE_TIMEOUT_MS)) {
            List<Node> nodes = List.of(node(first), node(second));
            RetryingCaller caller = new RetryingCaller(client, nodes, 3, bound -> 0);
            assertThat(caller.call(request(Kind.SERVICE, false)))
                    .isInstanceOf(CallerOutcome.Succeeded.class);
        }
        assertThat(
                        history.stream()
                                .filter(CallerSent.class::isInstance)
                                .map(record -> ((CallerSent) record).key()))
                .containsExactly("k1", "k1");
    }

    private CallerOutcome send(HttpHandler handler, CallerRequest request) throws IOException {
        try (HttpServer server = serve(handler);
                CallerClient client = new CallerClient(history::add, SILENCE_TIMEOUT_MS)) {
            return client.send(node(server), request);
        }
    }

    private static CallerOutcome withoutTimes(CallerOutcome outcome) {
        return outcome instanceof CallerOutcome.Succeeded succeeded
                ? new CallerOutcome.Succeeded(
                        succeeded.text(),
                        succeeded.owner(),
                        succeeded.turn(),
                        succeeded.budgetLeftTokens(),
                        0,
                        0,
                        -1)
                : outcome;
    }

    private static CallerOutcome succeeded(String text) {
        return new CallerOutcome.Succeeded(text, "host-2", 3, 70, 0, 0, -1);
    }

    private static CallerRequest request(Kind kind, boolean streamed) {
        boolean repeatable = kind == Kind.MODEL;
        return new CallerRequest("workshops", "bike", "k1", kind, repeatable, "hello", streamed);
    }

    private static HttpReply stream(String body) {
        return new HttpReply.Streamed(
                200,
                Map.of(),
                "text/event-stream",
                out -> out.write(body.getBytes(StandardCharsets.UTF_8)));
    }

    private static HttpServer serve(HttpHandler handler) throws IOException {
        return HttpServer.start("127.0.0.1", 0, MAX_BODY_BYTES, handler);
    }

    private static Node node(HttpServer server) {
        return new Node("host-1", "a", "127.0.0.1:" + server.port(), "", "");
    }
}
