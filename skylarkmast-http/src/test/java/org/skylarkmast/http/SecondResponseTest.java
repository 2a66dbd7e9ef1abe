package org.skylarkmast.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests servers that answer a request twice on a connection that the client keeps. */
class SecondResponseTest {
    private final CountDownLatch firstWasRead = new CountDownLatch(1);
    private final CountDownLatch secondWasSent = new CountDownLatch(1);

    private static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static Stream<Arguments> secondResponses() {
        String failure = "HTTP/1.1 500 x\r\nContent-Length: 4\r\n\r\nfail";
        return Stream.of(false, true)
                .flatMap(
                        late ->
                                Stream.of(
                                        Arguments.of("whole", response("/1"), late),
                                        Arguments.of("failure", failure, late),
                                        Arguments.of("cut", "HTTP/1.1 200 O", late),
                                        Arguments.of("no response", "what\r\n\r\n", late)));
    }

    // Guards against a second response taken for that to the next request on its connection.
    @ParameterizedTest(name = "{0}, late: {2}")
    @MethodSource("secondResponses")
    void secondResponseIsNotTakenForThatToTheNextRequest(String name, String second, boolean late)
            throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
                HttpClient client = new HttpClient(1, 1000)) {
            Thread.ofVirtual().start(() -> accept(listener, second, late));
            assertThat(body(client, listener, "/1")).isEqualTo("/1");
            firstWasRead.countDown();
            assertThat(secondWasSent.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(body(client, listener, "/2")).isEqualTo("/2");
        }
    }

    private static String body(HttpClient client, ServerSocket listener, String path) {
        HttpOutcome outcome =
                client.send(
                        new ClientRequest(
                                "127.0.0.1:" + listener.getLocalPort(),
                                "GET",
                                path,
                                Map.of(),
                                new byte[0],
                                10_000,
                                false));
        return outcome instanceof HttpOutcome.Answered answered
                ? new String(answered.body(), StandardCharsets.US_ASCII)
                : outcome.toString();
    }

    private void accept(ServerSocket listener, String second, boolean late) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket, second, late));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Answers each request with its path; the first one twice. */
    private void serve(Socket socket, String second, boolean late) {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (true) {
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    int next = in.read();
                    if (next < 0) {
                        return;
                    }
                    head.append((char) next);
                }
                String own = response(head.toString().split(" ", -1)[1]);
                boolean twice = secondWasSent.getCount() > 0;
                write(socket, own + (twice && !late ? second : ""));
                if (twice && late) {
                    assertThat(firstWasRead.await(10, TimeUnit.SECONDS)).isTrue();
                    write(socket, second);
                }
                secondWasSent.countDown();
            }
        } catch (IOException e) {
            // The client closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(Socket socket, String raw) throws IOException {
        socket.getOutputStream().write(raw.getBytes(StandardCharsets.US_ASCII));
    }
}
