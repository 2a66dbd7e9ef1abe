package org.skylarkmast.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpServerTest {
    private static final int MAX_BODY_BYTES = 1_000;
    private static final long TIMEOUT_MS = 20_000;

    private final HttpClient client = new HttpClient(4, 5_000);

    @AfterEach
    void closeClient() {
        client.close();
    }

    @Test
    void sendsReplyOfHandler() throws IOException {
        try (HttpServer server =
                start(
                        request ->
                                HttpReply.json(
                                        201, "{\"q\":\"" + request.query().get("q") + "\"}"))) {
            HttpOutcome outcome =
                    client.send(ClientRequest.get(address(server), "/a?q=x%20y", TIMEOUT_MS));
            HttpOutcome.Answered answered = (HttpOutcome.Answered) outcome;
            assertThat(answered.status()).isEqualTo(201);
            assertThat(answered.text()).isEqualTo("{\"q\":\"x y\"}");
        }
    }

    @Test
    void streamsLinesOverSuccessiveRequests() throws IOException {
        try (HttpServer server = start(request -> streamed(out -> out.write(bytes("a\nb\n"))))) {
            for (int i = 0; i < 3; i++) {
                List<String> lines = new ArrayList<>();
                HttpOutcome outcome =
                        client.stream(
                                ClientRequest.get(address(server), "/", TIMEOUT_MS),
                                new AbortSignal(),
                                lines::add);
                assertThat(outcome).isInstanceOf(HttpOutcome.Answered.class);
                assertThat(lines).containsExactly("a", "b").inOrder();
            }
        }
    }

    @Test
    void reportsTruncatedBodyAsBroken() throws IOException {
        HttpReply.StreamBody truncated =
                out -> {
                    out.write(bytes("a\n"));
                    out.flush();
                    throw new IOException("upstream disconnected");
                };
        try (HttpServer server = start(request -> streamed(truncated))) {
            HttpOutcome outcome =
                    client.stream(
                            ClientRequest.get(address(server), "/", TIMEOUT_MS),
                            new AbortSignal(),
                            line -> true);
            assertThat(outcome).isInstanceOf(HttpOutcome.Broken.class);
        }
    }

    @Test
    void doesNotPassOnLineThatTheConnectionCutOff() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> answerOnce(server, "HTTP/1.1 200 OK\r\n\r\na\nb"));
            List<String> lines = new ArrayList<>();
            HttpOutcome outcome =
                    client.stream(
                            ClientRequest.get(
                                    "127.0.0.1:" + server.getLocalPort(), "/", TIMEOUT_MS),
                            new AbortSignal(),
                            lines::add);
            assertThat(outcome).isInstanceOf(HttpOutcome.Broken.class);
            assertThat(lines).containsExactly("a");
        }
    }

    private static void answerOnce(ServerSocket server, String answer) {
        try (Socket socket = server.accept()) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = reader.readLine();
                    line != null && !line.isEmpty();
                    line = reader.readLine()) {}
            socket.getOutputStream().write(bytes(answer));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void closesConnectionWhenConsumerStopsReading() throws IOException {
        HttpReply.StreamBody endless =
                out -> {
                    while (true) {
                        out.write(bytes("a\n"));
                        out.flush();
                    }
                };
        try (HttpServer server = start(request -> streamed(endless))) {
            HttpOutcome outcome =
                    assertTimeoutPreemptively(
                            Duration.ofSeconds(60),
                            () ->
                                    client.stream(
                                            ClientRequest.get(address(server), "/", TIMEOUT_MS),
                                            new AbortSignal(),
                                            line -> false));
            assertThat(outcome).isInstanceOf(HttpOutcome.Broken.class);
        }
    }

    @Test
    void rejectsOversizedBodyAndKeepsServing() throws IOException {
        try (HttpServer server = start(request -> HttpReply.text(200, "ok"))) {
            assertThat(post(server, MAX_BODY_BYTES + 1)).isEqualTo(413);
            assertThat(post(server, MAX_BODY_BYTES)).isEqualTo(200);
        }
    }

    @Test
    void reportsNotSentWhenConnectionIsRefused() throws IOException {
        HttpServer server = start(request -> HttpReply.text(200, "ok"));
        String address = address(server);
        server.close();
        assertThat(client.send(ClientRequest.get(address, "/", TIMEOUT_MS)))
                .isInstanceOf(HttpOutcome.NotSent.class);
    }

    private int post(HttpServer server, int bytes) {
        ClientRequest request =
                new ClientRequest(
                        address(server), "POST", "/", Map.of(), new byte[bytes], TIMEOUT_MS, true);
        return ((HttpOutcome.Answered) client.send(request)).status();
    }

    private static HttpReply streamed(HttpReply.StreamBody body) {
        return new HttpReply.Streamed(200, Map.of(), "text/plain", body);
    }

    private static HttpServer start(HttpHandler handler) throws IOException {
        return HttpServer.start("127.0.0.1", 0, MAX_BODY_BYTES, handler);
    }

    private static String address(HttpServer server) {
        return "127.0.0.1:" + server.port();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
