import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A consumer's side of HTTP/1.1. */
final class Caller {
    private Caller() {}

    /** How an answer ended. */
    enum End {
        COMPLETE,
        /** The channel ended before the answer did. */
        CUT,
        /** Bytes arrived that are no answer in the protocol. */
        GARBLED,
        TIMED_OUT
    }

    /**
     * An answer.
     *
     * @param status 0 if no head arrived
     */
    record Answer(int status, Map<String, String> fields, String body, End end, String detail) {
        boolean closes() {
            return end != End.COMPLETE
                    || "close".equalsIgnoreCase(fields.getOrDefault("connection", ""));
        }
    }

    /** A channel to a node. */
    static final class Channel implements AutoCloseable {
        private final Socket socket = new Socket();
        private final BufferedInputStream in;

        Channel(String address, int connectTimeoutMs) throws IOException {
            int colon = address.lastIndexOf(':');
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    connectTimeoutMs);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** Sends a request; the head ends with an empty line. */
        void send(String head, byte[] body) throws IOException {
            ByteArrayOutputStream message = new ByteArrayOutputStream(head.length() + body.length);
            message.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
            message.writeBytes(body);
            socket.getOutputStream().write(message.toByteArray());
        }

        /** Reads an answer; each read waits for at most {@code timeoutMs}. */
        Answer read(String method, int timeoutMs) {
            int status = 0;
            Map<String, String> fields = Map.of();
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                socket.setSoTimeout(timeoutMs);
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    return new Answer(0, fields, "", End.CUT, "no answer");
                }
                if (!head.line().matches("HTTP/1\\.1 [1-9][0-9][0-9]( .*)?")) {
                    return new Answer(0, fields, "", End.GARBLED, head.line());
                }
                status = Integer.parseInt(head.line().substring(9, 12));
                fields = head.fields();
                if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
                    Http.readChunked(in, body::writeBytes);
                } else if (fields.containsKey("content-length")) {
                    int length = Integer.parseInt(fields.get("content-length"));
                    body.writeBytes(Http.readLength(in, length));
                }
                return new Answer(status, fields, text(body), End.COMPLETE, "");
            } catch (Http.NoMessageException e) {
                return new Answer(status, fields, text(body), End.GARBLED, e.getMessage());
            } catch (SocketTimeoutException e) {
                return new Answer(status, fields, text(body), End.TIMED_OUT, e.getMessage());
            } catch (IOException e) {
                return new Answer(status, fields, text(body), End.CUT, e.getMessage());
            }
        }

        private static String text(ByteArrayOutputStream body) {
            return body.toString(StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Nothing is left to release.
            }
        }
    }
}
