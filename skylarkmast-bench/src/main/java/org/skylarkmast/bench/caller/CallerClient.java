package org.skylarkmast.bench.caller;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.skylarkmast.bench.cluster.BearerKeys;
import org.skylarkmast.bench.cluster.ConfigurationObjects;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.history.HistoryRecord;
import org.skylarkmast.bench.history.HistoryRecord.CallerAnswered;
import org.skylarkmast.bench.history.HistoryRecord.CallerDisconnected;
import org.skylarkmast.bench.history.HistoryRecord.CallerSent;
import org.skylarkmast.bench.history.HistoryRecord.Execution;
import org.skylarkmast.bench.history.HistoryRecord.Kind;
import org.skylarkmast.bench.history.HistoryRecord.Message;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.http.AbortSignal;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import tools.jackson.databind.JsonNode;

/**
 * Client of the callers' API that records each attempt and its outcome in the history. Thread-safe.
 *
 * <p>Each request uses a new connection: a request sent over a pooled connection that the host has
 * just closed would be recorded as interrupted although the host never received it.
 */
public final class CallerClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int GONE = 410;
    private static final int IDLE_CONNECTIONS = 4;

    private final HttpClient http = new HttpClient(IDLE_CONNECTIONS, CONNECT_TIMEOUT_MS);
    private final AtomicLong attempts = new AtomicLong();
    private final Consumer<HistoryRecord> history;
    private final long silenceTimeoutMs;

    /**
     * @param history receives a record of each request sent and answer received
     * @param silenceTimeoutMs maximum time without data within an answer
     */
    public CallerClient(Consumer<HistoryRecord> history, long silenceTimeoutMs) {
        this.history = history;
        this.silenceTimeoutMs = silenceTimeoutMs;
    }

    /** Sends {@code request} to {@code node} once. */
    public CallerOutcome send(Node node, CallerRequest request) {
        String attempt = "attempt-" + attempts.incrementAndGet();
        history.accept(
                new CallerSent(
                        nowMs(),
                        attempt,
                        node.name(),
                        request.programKey(),
                        request.key(),
                        request.kind(),
                        request.repeatable(),
                        request.text()));
        CallerOutcome outcome =
                request.kind() == Kind.MODEL
                        ? callModel(node, request)
                        : callService(node, request);
        history.accept(toRecord(attempt, outcome));
        return outcome;
    }

    private static HistoryRecord toRecord(String attempt, CallerOutcome outcome) {
        return switch (outcome) {
            case CallerOutcome.Succeeded succeeded ->
                    new CallerAnswered(
                            nowMs(),
                            attempt,
                            200,
                            Execution.RAN,
                            succeeded.text(),
                            succeeded.turn(),
                            succeeded.budgetLeftTokens());
            case CallerOutcome.Refused refused ->
                    new CallerAnswered(
                            nowMs(), attempt, refused.status(), refused.execution(), "", 0, -1);
            case CallerOutcome.Disconnected disconnected ->
                    new CallerDisconnected(
                            nowMs(), attempt, disconnected.connected(), disconnected.reason());
        };
    }

    private CallerOutcome callModel(Node node, CallerRequest request) {
        byte[] body =
                JsonUtil.toBytes(
                        Map.of(
                                "model",
                                ConfigurationObjects.MODEL,
                                "messages",
                                List.of(Map.of("role", "user", "content", request.text())),
                                "stream",
                                request.streamed()));
        ClientRequest send = post(node, "/v1/chat/completions", request, body);
        AnswerReader reader = new AnswerReader();
        return request.streamed()
                ? reader.streamedOutcome(http.stream(send, new AbortSignal(), reader::onLine))
                : reader.bodyOutcome(http.send(send));
    }

    private CallerOutcome callService(Node node, CallerRequest request) {
        String servicePath = "/v1/services/" + ConfigurationObjects.SERVICE;
        if (request.repeatable()) {
            return AnswerReader.serviceOutcome(
                    http.send(
                            new ClientRequest(
                                    node.callerAddress(),
                                    "GET",
                                    servicePath + ConfigurationObjects.LOOKUP_PATH,
                                    headers(request),
                                    new byte[0],
                                    silenceTimeoutMs,
                                    true)));
        }
        byte[] body = JsonUtil.toBytes(Map.of("order", request.text()));
        return AnswerReader.serviceOutcome(
                http.send(
                        post(node, servicePath + ConfigurationObjects.ORDER_PATH, request, body)));
    }

    private ClientRequest post(Node node, String path, CallerRequest request, byte[] body) {
        return new ClientRequest(
                node.callerAddress(), "POST", path, headers(request), body, silenceTimeoutMs, true);
    }

    private static Map<String, String> headers(CallerRequest request) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + BearerKeys.ofWorkspace(request.workspace()));
        headers.put("Skylarkmast-Template", ConfigurationObjects.template(request.workspace()));
        headers.put("Skylarkmast-Program", request.program());
        headers.put("Idempotency-Key", request.key());
        headers.put("Content-Type", "application/json");
        return headers;
    }

    /** Reads and records a program's history; empty if the node does not answer 200. */
    public Optional<List<Message>> readHistory(Node node, String workspace, String program) {
        HttpOutcome outcome = http.send(programRequest(node, "GET", workspace, program));
        if (!(outcome instanceof HttpOutcome.Answered answered) || answered.status() != 200) {
            return Optional.empty();
        }
        List<Message> messages = new ArrayList<>();
        for (JsonNode message : JsonUtil.MAPPER.readTree(answered.body()).path("history")) {
            messages.add(
                    new Message(
                            message.path("role").asString(""),
                            message.path("content").asString("")));
        }
        history.accept(new HistoryRecord.HistoryRead(nowMs(), workspace + ":" + program, messages));
        return Optional.of(messages);
    }

    /**
     * Ends a program and records its end.
     *
     * @return whether the node confirmed the end, or answered that the program had already ended
     */
    public boolean end(Node node, String workspace, String program) {
        HttpOutcome outcome = http.send(programRequest(node, "DELETE", workspace, program));
        boolean ended =
                outcome instanceof HttpOutcome.Answered answered
                        && (answered.status() / 100 == 2 || answered.status() == GONE);
        if (ended) {
            history.accept(new HistoryRecord.ProgramEnded(nowMs(), workspace + ":" + program));
        }
        return ended;
    }

    private ClientRequest programRequest(
            Node node, String method, String workspace, String program) {
        return new ClientRequest(
                node.callerAddress(),
                method,
                "/v1/programs/" + URLEncoder.encode(program, StandardCharsets.UTF_8),
                Map.of("Authorization", "Bearer " + BearerKeys.ofWorkspace(workspace)),
                new byte[0],
                silenceTimeoutMs,
                false);
    }

    private static long nowMs() {
        return System.currentTimeMillis();
    }

    @Override
    public void close() {
        http.close();
    }
}
