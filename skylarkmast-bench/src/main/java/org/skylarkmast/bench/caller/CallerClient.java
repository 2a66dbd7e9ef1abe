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
import org.skylarkmast.bench.cluster.Keys;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.cluster.ObjectSet;
import org.skylarkmast.bench.history.HistoryRecord;
import org.skylarkmast.bench.history.HistoryRecord.CallerAnswered;
import org.skylarkmast.bench.history.HistoryRecord.CallerCut;
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
 * Speaks the callers' API and tells the history each attempt and what came of it; thread-safe.
 *
 * <p>Each request has a connection of its own: a request on a kept connection that the host has
 * just closed would look cut although the host never saw it.
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
     * @param history takes what was sent and received
     * @param silenceTimeoutMs longest silence to bear within an answer
     */
    public CallerClient(Consumer<HistoryRecord> history, long silenceTimeoutMs) {
        this.history = history;
        this.silenceTimeoutMs = silenceTimeoutMs;
    }

    /** Sends {@code request} once, by {@code node}. */
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
                request.kind() == Kind.MODEL ? model(node, request) : service(node, request);
        history.accept(record(attempt, outcome));
        return outcome;
    }

    private static HistoryRecord record(String attempt, CallerOutcome outcome) {
        return switch (outcome) {
            case CallerOutcome.Succeeded done ->
                    new CallerAnswered(
                            nowMs(),
                            attempt,
                            200,
                            Execution.RAN,
                            done.text(),
                            done.turn(),
                            done.budgetLeftTokens());
            case CallerOutcome.Refused refused ->
                    new CallerAnswered(
                            nowMs(), attempt, refused.status(), refused.execution(), "", 0, -1);
            case CallerOutcome.Cut cut ->
                    new CallerCut(nowMs(), attempt, cut.connected(), cut.reason());
        };
    }

    private CallerOutcome model(Node node, CallerRequest request) {
        byte[] body =
                JsonUtil.toBytes(
                        Map.of(
                                "model",
                                ObjectSet.MODEL,
                                "messages",
                                List.of(Map.of("role", "user", "content", request.text())),
                                "stream",
                                request.streamed()));
        ClientRequest send = post(node, "/v1/chat/completions", request, body);
        AnswerReader reader = new AnswerReader();
        return request.streamed()
                ? reader.streamed(http.stream(send, new AbortSignal(), reader::onLine))
                : reader.whole(http.send(send));
    }

    private CallerOutcome service(Node node, CallerRequest request) {
        String root = "/v1/services/" + ObjectSet.SERVICE;
        if (request.repeatable()) {
            return AnswerReader.service(
                    http.send(
                            new ClientRequest(
                                    node.callers(),
                                    "GET",
                                    root + ObjectSet.LOOKUP_PATH,
                                    headers(request),
                                    new byte[0],
                                    silenceTimeoutMs,
                                    true)));
        }
        byte[] body = JsonUtil.toBytes(Map.of("order", request.text()));
        return AnswerReader.service(
                http.send(post(node, root + ObjectSet.ORDER_PATH, request, body)));
    }

    private ClientRequest post(Node node, String path, CallerRequest request, byte[] body) {
        return new ClientRequest(
                node.callers(), "POST", path, headers(request), body, silenceTimeoutMs, true);
    }

    private static Map<String, String> headers(CallerRequest request) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + Keys.ofWorkspace(request.workspace()));
        headers.put("Skylarkmast-Template", ObjectSet.template(request.workspace()));
        headers.put("Skylarkmast-Program", request.program());
        headers.put("Idempotency-Key", request.key());
        headers.put("Content-Type", "application/json");
        return headers;
    }

    /** Reads a program's history back and tells the history; empty if the node did not tell it. */
    public Optional<List<Message>> readHistory(Node node, String workspace, String program) {
        HttpOutcome outcome = http.send(plain(node, "GET", workspace, program));
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
     * Ends a program and tells the history.
     *
     * @return whether the node confirmed it, now or as ended before
     */
    public boolean end(Node node, String workspace, String program) {
        HttpOutcome outcome = http.send(plain(node, "DELETE", workspace, program));
        boolean ended =
                outcome instanceof HttpOutcome.Answered answered
                        && (answered.status() / 100 == 2 || answered.status() == GONE);
        if (ended) {
            history.accept(new HistoryRecord.ProgramEnded(nowMs(), workspace + ":" + program));
        }
        return ended;
    }

    private ClientRequest plain(Node node, String method, String workspace, String program) {
        return new ClientRequest(
                node.callers(),
                method,
                "/v1/programs/" + URLEncoder.encode(program, StandardCharsets.UTF_8),
                Map.of("Authorization", "Bearer " + Keys.ofWorkspace(workspace)),
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
