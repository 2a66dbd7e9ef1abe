package org.skylarkmast.bench.demo;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.http.AbortSignal;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import tools.jackson.databind.JsonNode;

/** Sends a caller's requests, to another daemon under the same key where one does not answer. */
final class DemoCaller {
    private static final long TIMEOUT_MS = 60_000;
    private static final int ATTEMPTS = 60;
    private static final long PAUSE_MS = 250;
    private static final String DATA = "data: ";

    private final HttpClient client;
    private final List<String> daemons;
    private final String key;

    DemoCaller(HttpClient client, List<String> daemons, String key) {
        this.client = client;
        this.daemons = daemons;
        this.key = key;
    }

    /** One request of the demonstration. */
    record Ask(
            String method,
            String path,
            String program,
            String idempotencyKey,
            Map<String, Object> body) {}

    /** Sends {@code ask} by daemon {@code entry} first; throws if no daemon answers well. */
    HttpOutcome.Answered send(int entry, Ask ask) {
        String seen = "";
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            String daemon = daemons.get((entry + attempt) % daemons.size());
            HttpOutcome outcome = client.send(request(daemon, ask));
            if (outcome instanceof HttpOutcome.Answered answered) {
                if (answered.status() / 100 == 2) {
                    return answered;
                }
                seen = answered.status() + " " + answered.text();
                if (!retryable(answered)) {
                    break;
                }
            } else {
                seen = daemon + ": " + outcome;
            }
            pause();
        }
        throw new DemoFailure(ask.path() + " was not answered well: " + seen);
    }

    /** Streams a chat turn and returns its last chunk; prints pieces as they come. */
    JsonNode stream(int entry, Ask ask, StringBuilder text) {
        JsonNode[] last = {null};
        boolean[] done = {false};
        HttpOutcome outcome =
                client.stream(
                        request(daemons.get(entry), ask),
                        new AbortSignal(),
                        line -> {
                            if (line.equals(DATA + "[DONE]")) {
                                done[0] = true;
                            } else if (line.startsWith(DATA)) {
                                last[0] = JsonUtil.MAPPER.readTree(line.substring(DATA.length()));
                                text.append(piece(last[0]).orElse(""));
                            }
                            return true;
                        });
        if (!done[0] || last[0] == null) {
            throw new DemoFailure("the stream ended early: " + outcome + " " + last[0]);
        }
        return last[0];
    }

    private static Optional<String> piece(JsonNode chunk) {
        JsonNode content = chunk.path("choices").path(0).path("delta").path("content");
        return content.isString() ? Optional.of(content.asString()) : Optional.empty();
    }

    private ClientRequest request(String daemon, Ask ask) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + key);
        headers.put("Skylarkmast-Template", "intake");
        headers.put("Skylarkmast-Program", ask.program());
        headers.put("Idempotency-Key", ask.idempotencyKey());
        headers.put("Content-Type", "application/json");
        byte[] body =
                ask.body().isEmpty()
                        ? new byte[0]
                        : JsonUtil.MAPPER
                                .writeValueAsString(ask.body())
                                .getBytes(StandardCharsets.UTF_8);
        return new ClientRequest(daemon, ask.method(), ask.path(), headers, body, TIMEOUT_MS, true);
    }

    private static boolean retryable(HttpOutcome.Answered answered) {
        return answered.header("retry-after").isPresent();
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new DemoFailure("interrupted");
        }
    }
}
