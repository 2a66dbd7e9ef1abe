package org.skylarkmast.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.skylarkmast.http.AbortSignal;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;

/** An HTTP client for one stand-in under test. */
public final class StandInCalls implements AutoCloseable {
    private static final long TIMEOUT_MS = 60_000;

    private final HttpClient client = new HttpClient(4, 5_000);
    private final String address;

    /** Creates a client for the stand-in on {@code port}. */
    public StandInCalls(int port) {
        this.address = "127.0.0.1:" + port;
    }

    /** The outcome of a streamed call and the lines received. */
    public record StreamedAnswer(HttpOutcome outcome, List<String> lines) {}

    /** Sends a request and reads the complete answer. */
    public HttpOutcome send(String method, String path, String body, Map<String, String> headers) {
        return client.send(request(method, path, body, headers));
    }

    /** Sends a request without headers; fails the test if it is not answered. */
    public HttpOutcome.Answered answered(String method, String path, String body) {
        return (HttpOutcome.Answered) send(method, path, body, Map.of());
    }

    /** Sends a request and reads up to {@code maxLines} non-empty lines of the answer. */
    public StreamedAnswer stream(
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
        return new StreamedAnswer(outcome, lines);
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
