package org.skylarkmast.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Sends single requests to a server whose response a test scripts byte by byte. */
final class RawResponses {

    private RawResponses() {}

    /**
     * Returns the outcome of a request that is answered with {@code raw} and the end of the
     * connection.
     *
     * @param stream whether the response is read by lines
     */
    static HttpOutcome outcome(String method, String raw, boolean stream) throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
                HttpClient client = new HttpClient(1, 1000)) {
            Thread.ofVirtual().start(() -> respond(listener, raw));
            ClientRequest request =
                    new ClientRequest(
                            "127.0.0.1:" + listener.getLocalPort(),
                            method,
                            "/x",
                            Map.of(),
                            new byte[0],
                            10_000,
                            false);
            return stream
                    ? client.stream(request, new AbortSignal(), line -> true)
                    : client.send(request);
        }
    }

    private static void respond(ServerSocket listener, String raw) {
        try (Socket socket = listener.accept()) {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) in.read());
            }
            socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
