package org.skylarkmast.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests messages whose sender closes the connection before their end, cut after each byte. */
class CutMessageTest {

    static Stream<Arguments> responses() {
        String ok = "HTTP/1.1 200 OK\r\nA: b\r\n";
        String chunked = ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nline\n\r\n0\r\nT: t\r\n\r\n";
        String interim = "HTTP/1.1 103 x\r\nA: b\r\n\r\n";
        return Stream.of(
                Arguments.of("length", ok + "Content-Length: 5\r\n\r\nline\n", false),
                Arguments.of("no body", ok + "Content-Length: 0\r\n\r\n", false),
                Arguments.of("chunks", chunked, false),
                Arguments.of("interim response", interim + chunked, false),
                Arguments.of("lines of a stream", chunked, true));
    }

    // Guards against a response that ends inside its head, or its trailers, taken for complete.
    @ParameterizedTest(name = "{0}")
    @MethodSource("responses")
    void responseThatWasCutIsNoAnswer(String name, String response, boolean stream)
            throws IOException {
        for (int length = 0; length < response.length(); length++) {
            String cut = response.substring(0, length);
            assertWithMessage("cut after %s", cut)
                    .that(RawResponses.outcome("GET", cut, stream))
                    .isInstanceOf(HttpOutcome.Broken.class);
        }
    }

    static Stream<Arguments> requests() {
        String head = "POST /x HTTP/1.1\r\nHost: h\r\n";
        return Stream.of(
                Arguments.of("no body", head + "A: b\r\n\r\n"),
                Arguments.of("length", head + "Content-Length: 2\r\n\r\nhi"),
                Arguments.of(
                        "chunks",
                        head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nT: t\r\n\r\n"));
    }

    // Guards against a request that ends inside its head, or its trailers, given to the handler.
    @ParameterizedTest(name = "{0}")
    @MethodSource("requests")
    void requestThatWasCutIsNotHandled(String name, String request) throws IOException {
        AtomicInteger handled = new AtomicInteger();
        HttpHandler handler =
                received -> {
                    handled.incrementAndGet();
                    return HttpReply.text(200, "done\n");
                };
        try (HttpServer server = HttpServer.start("127.0.0.1", 0, 1000, handler)) {
            for (int length = 0; length < request.length(); length++) {
                String cut = request.substring(0, length);
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
                    socket.setSoTimeout(10_000);
                    socket.getOutputStream().write(cut.getBytes(StandardCharsets.US_ASCII));
                    socket.shutdownOutput();
                    assertWithMessage("cut after %s", cut)
                            .that(readToEnd(socket.getInputStream()))
                            .doesNotContain(" 200 ");
                }
            }
        }
        assertThat(handled.get()).isEqualTo(0);
    }

    /** Reads until the connection ends; the server may close it with a reset. */
    private static String readToEnd(InputStream in) {
        StringBuilder text = new StringBuilder();
        try {
            for (int next = in.read(); next >= 0; next = in.read()) {
                text.append((char) next);
            }
        } catch (IOException e) {
            text.append("(reset)");
        }
        return text.toString();
    }
}
