package org.skylarkmast.bench.compare;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.skylarkmast.bench.caller.CallerOutcome;
import org.skylarkmast.bench.caller.CallerRequest;
import org.skylarkmast.bench.cluster.ConfigurationObjects;
import org.skylarkmast.bench.cluster.Runner;
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
 * The baseline: sends each call directly to the next runner in rotation, without the product, and
 * keeps the history of each program itself. Thread-safe.
 */
final class RoundRobinCaller {
    private static final long TIMEOUT_MS = 60_000;
    private static final String DATA_PREFIX = "data:";

    private final HttpClient http;
    private final List<Runner> engines;
    private final List<Runner> services;
    private final AtomicInteger nextRunner = new AtomicInteger();
    private final Map<String, List<Message>> histories = new ConcurrentHashMap<>();

    RoundRobinCaller(HttpClient http, List<Runner> engines, List<Runner> services) {
        this.http = http;
        this.engines = List.copyOf(engines);
        this.services = List.copyOf(services);
    }

    /** Sends the call to one runner after another until one succeeds, at most once to each. */
    CallerOutcome call(CallerRequest request) {
        List<Runner> runners = request.kind() == Kind.MODEL ? engines : services;
        CallerOutcome outcome = new CallerOutcome.Disconnected(false, "no runner");
        for (int i = 0; i < runners.size(); i++) {
            Runner runner =
                    runners.get(Math.floorMod(nextRunner.getAndIncrement(), runners.size()));
            outcome =
                    request.kind() == Kind.MODEL
                            ? callModel(runner, request)
                            : callService(runner, request);
            if (outcome instanceof CallerOutcome.Succeeded) {
                return outcome;
            }
        }
        return outcome;
    }

    private CallerOutcome callModel(Runner runner, CallerRequest request) {
        List<Message> history =
                histories.computeIfAbsent(request.programKey(), key -> new ArrayList<>());
        List<Message> prompt = new ArrayList<>(history);
        prompt.add(new Message("user", request.text()));
        Map<String, Object> body =
                Map.of(
                        "model",
                        ConfigurationObjects.MODEL,
                        "messages",
                        prompt,
                        "stream",
                        true,
                        "stream_options",
                        Map.of("include_usage", true));
        StringBuilder text = new StringBuilder();
        StreamReader reader = new StreamReader();
        long sentNs = System.nanoTime();
        HttpOutcome outcome =
                http.stream(
                        buildRequest(runner, request, "/v1/chat/completions", body),
                        new AbortSignal(),
                        line -> reader.onLine(line, text, sentNs));
        if (!reader.done) {
            return new CallerOutcome.Refused(503, Execution.UNSTATED, 0, outcome.toString());
        }
        prompt.add(new Message("assistant", text.toString()));
        histories.put(request.programKey(), prompt);
        return new CallerOutcome.Succeeded(
                text.toString(),
                "",
                0,
                -1,
                reader.cachedTokens,
                reader.promptTokens - reader.cachedTokens,
                reader.firstTokenMs);
    }

    private CallerOutcome callService(Runner runner, CallerRequest request) {
        boolean lookup = request.repeatable();
        String path = lookup ? ConfigurationObjects.LOOKUP_PATH : ConfigurationObjects.ORDER_PATH;
        ClientRequest post = buildRequest(runner, request, path, Map.of("order", request.text()));
        HttpOutcome outcome =
                http.send(
                        lookup
                                ? new ClientRequest(
                                        post.address(),
                                        "GET",
                                        path,
                                        post.headers(),
                                        new byte[0],
                                        TIMEOUT_MS,
                                        false)
                                : post);
        return outcome instanceof HttpOutcome.Answered answered && answered.status() / 100 == 2
                ? new CallerOutcome.Succeeded(answered.text(), "", 0, -1, 0, 0, -1)
                : new CallerOutcome.Refused(503, Execution.UNSTATED, 0, outcome.toString());
    }

    private static ClientRequest buildRequest(
            Runner runner, CallerRequest request, String path, Map<String, Object> body) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/json");
        headers.put("Skylarkmast-Program", request.programKey());
        headers.put("Idempotency-Key", request.programKey() + ":" + request.key());
        return new ClientRequest(
                runner.address(), "POST", path, headers, JsonUtil.toBytes(body), TIMEOUT_MS, false);
    }

    /** Reads a stream: its end, its token counts and the time of its first content. */
    private static final class StreamReader {
        private boolean done;
        private long promptTokens;
        private long cachedTokens;
        private long firstTokenMs = -1;

        boolean onLine(String line, StringBuilder text, long sentNs) {
            if (!line.startsWith(DATA_PREFIX)) {
                return true;
            }
            String payload = line.substring(DATA_PREFIX.length()).strip();
            if (payload.equals("[DONE]")) {
                done = true;
                return true;
            }
            JsonNode chunk = JsonUtil.MAPPER.readTree(payload);
            JsonNode usage = chunk.path("usage");
            if (usage.isObject()) {
                promptTokens = usage.path("prompt_tokens").asLong(0);
                cachedTokens = usage.path("prompt_tokens_details").path("cached_tokens").asLong(0);
            }
            String content =
                    chunk.path("choices").path(0).path("delta").path("content").asString("");
            if (!content.isEmpty() && firstTokenMs < 0) {
                firstTokenMs = (System.nanoTime() - sentNs) / 1_000_000;
            }
            text.append(content);
            return true;
        }
    }
}
