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

/** Sends a caller's requests and retries them with the same key at other daemons. */
final class DemoCaller {
    private static final long TIMEOUT_MS = 60_000;
    private static final int MAX_ATTEMPTS = 60;
    private static final long RETRY_DELAY_MS = 250;
    private static final String DATA_PREFIX = "data: ";

    private final HttpClient client;
    private final List<String> daemons;
    private final String key;

    DemoCaller(HttpClient client, List<String> daemons, String key) {
        this.client = client;
        this.daemons = daemons;
        this.key = key;
    }

    /** One request of the demonstration. */
    record DemoRequest(
            String method,
            String path,
            String program,
            String idempotencyKey,
            Map<String, Object> body) {}

    /**
     * Sends {@code request}, first to daemon {@code firstDaemon}; throws if no daemon answers 2xx.
     */
    HttpOutcome.Answered send(int firstDaemon, DemoRequest request) {
        String lastOutcome = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            String daemon = daemons.get((firstDaemon + attempt) % daemons.size());
            HttpOutcome outcome = client.send(toHttpRequest(daemon, request));
            if (outcome instanceof HttpOutcome.Answered answered) {
                if (answered.status() / 100 == 2) {
                    return answered;
                }
                lastOutcome = answered.status() + " " + answered.text();
                if (!retryable(answered)) {
                    break;
                }
            } else {
                lastOutcome = daemon + ": " + outcome;
            }
            pause();
        }
        throw new DemoFailure(request.path() + " failed: " + lastOutcome);
    }

    /** Streams a chat turn, appends its content to {@code text} and returns the last chunk. */
    JsonNode stream(int firstDaemon, DemoRequest request, StringBuilder text) {
        JsonNode[] last = {null};
        boolean[] done = {false};
        HttpOutcome outcome =
                client.stream(
                        toHttpRequest(daemons.get(firstDaemon), request),
                        new AbortSignal(),
                        line -> {
                            if (line.equals(DATA_PREFIX + "[DONE]")) {
                                done[0] = true;
                            } else if (line.startsWith(DATA_PREFIX)) {
                                last[0] =
                                        JsonUtil.MAPPER.readTree(
                                                line.substring(DATA_PREFIX.length()));
                                text.append(content(last[0]).orElse(""));
                            }
                            return true;
                        });
        if (!done[0] || last[0] == null) {
            throw new DemoFailure("stream ended before [DONE]: " + outcome + " " + last[0]);
        }
        return last[0];
    }

    private static Optional<String> content(JsonNode chunk) {
        JsonNode content = chunk.path("choices").path(0).path("delta").path("content");
        return content.isString() ? Optional.of(content.asString()) : Optional.empty();
    }

    private ClientRequest toHttpRequest(String daemon, DemoRequest request) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + key);
        headers.put("Skylarkmast-Template", "intake");
        headers.put("Skylarkmast-Program", request.program());
        headers.put("Idempotency-Key", request.idempotencyKey());
        headers.put("Content-Type", "application/json");
        byte[] body =
                request.body().isEmpty()
                        ? new byte[0]
                        : JsonUtil.MAPPER
                                .writeValueAsString(request.body())
                                .getBytes(StandardCharsets.UTF_8);
        return new ClientRequest(
                daemon, request.method(), request.path(), headers, body, TIMEOUT_MS, true);
    }

    private static boolean retryable(HttpOutcome.Answered answered) {
        return answered.header("retry-after").isPresent();
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new DemoFailure("interrupted");
        }
    }
}
