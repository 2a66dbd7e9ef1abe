import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.LinkedHashMap;
import java.util.Map;

/** A consumer's attempts: one new channel for each. */
final class Caller {
    private Caller() {}

    /**
     * What became of an attempt.
     *
     * @param status 0 if there was no head
     * @param end complete, cut, timeout or unconnected
     */
    record Result(int status, String end, String body, String retryAfter, boolean signed, long tookMs) {
        boolean served() {
            return status == 200 && signed && end.equals("complete");
        }
    }

    static Map<String, String> fields(String host, String requestId, long deadlineMs) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", host);
        fields.put("X-Request-Id", requestId);
        fields.put("X-Deadline-Ms", Long.toString(deadlineMs));
        return fields;
    }

    static Result send(
            Node node,
            String method,
            String target,
            Map<String, String> fields,
            byte[] body,
            long waitMs) {
        long startNs = System.nanoTime();
        int status = 0;
        String retryAfter = "";
        boolean signed = false;
        StringBuilder text = new StringBuilder();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(node.ip, Node.FRONT_PORT), 1000);
            socket.setSoTimeout((int) waitMs);
            socket.getOutputStream()
                    .write(Http.message(method + " " + target + " HTTP/1.1", fields, body));
            InputStream in = Http.buffered(socket.getInputStream());
            Http.Message answer = Http.readHead(in);
            if (answer == null) {
                return new Result(0, "cut", "", "", false, tookMs(startNs));
            }
            status = answer.status();
            retryAfter = answer.field("retry-after");
            signed = !answer.field("x-server-signature").isEmpty();
            if (answer.field("transfer-encoding").equals("chunked")) {
                for (byte[] chunk = Http.readChunk(in); chunk.length > 0; chunk = Http.readChunk(in)) {
                    text.append(new String(chunk));
                }
            } else {
                text.append(new String(Http.readBody(in, answer, false)));
            }
            return new Result(status, "complete", text.toString(), retryAfter, signed, tookMs(startNs));
        } catch (SocketTimeoutException e) {
            String end = status == 0 && e.getMessage().contains("onnect") ? "unconnected" : "timeout";
            return new Result(status, end, text.toString(), retryAfter, signed, tookMs(startNs));
        } catch (IOException e) {
            String end = String.valueOf(e.getMessage()).contains("refused") ? "unconnected" : "cut";
            return new Result(status, end, text.toString(), retryAfter, signed, tookMs(startNs));
        }
    }

    private static long tookMs(long startNs) {
        return (System.nanoTime() - startNs) / 1_000_000;
    }
}
