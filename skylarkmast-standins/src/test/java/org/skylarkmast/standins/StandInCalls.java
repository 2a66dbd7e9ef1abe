package org.skylarkmast.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.skylarkmast.http.AbortSignal;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;

/** Calls to one stand-in under test. */
public final class StandInCalls implements AutoCloseable {
    private static final long TIMEOUT_MS = 60_000;

    private final HttpClient client = new HttpClient(4, 5_000);
    private final String address;

    /** Calls the stand-in on {@code port}. */
    public StandInCalls(int port) {
        this.address = "127.0.0.1:" + port;
    }

    /** An answer read whole, or what was read of it. */
    public record Streamed(HttpOutcome outcome, List<String> lines) {}

    /** Sends a request whose answer comes whole. */
    public HttpOutcome send(String method, String path, String body, Map<String, String> headers) {
        return client.send(request(method, path, body, headers));
    }

    /** Sends a request that must be answered. */
    public HttpOutcome.Answered answered(String method, String path, String body) {
        return (HttpOutcome.Answered) send(method, path, body, Map.of());
    }

    /** Sends a request and reads up to {@code maxLines} lines that are not empty. */
    public Streamed stream(
            String method, String path, String body, Map<String, String> headers, int maxLines) {
        List<String> lines = new ArrayList<>();
        HttpOutcome outcome =
                client.stream(
                        request(method, path, body, headers),
                        new AbortSignal(),
                        line -> {
                            if (!line.isEmpty()) {
                                lines.add(line);
                            }
                            return lines.size() < maxLines;
                        });
        return new Streamed(outcome, lines);
    }

    @Override
    public void close() {
        client.close();
    }

    private ClientRequest request(
            String method, String path, String body, Map<String, String> headers) {
        return new ClientRequest(
                address,
                method,
                path,
                headers,
                body.getBytes(StandardCharsets.UTF_8),
                TIMEOUT_MS,
                true);
    }
}
