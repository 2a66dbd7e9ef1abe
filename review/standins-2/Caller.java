import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** Sends requests as a caller does, each on a connection of its own. */
final class Caller {
    private Caller() {}

    /** An answer, or why there is none: status 0 and the reason in {@code text}. */
    record Answer(String requestId, int status, boolean whole, String signature, String text, long tookMs) {}

    static String newId() {
        return "%016x".formatted(ThreadLocalRandom.current().nextLong());
    }

    static String head(String method, String path, String id, long deadlineMs, Map<String, String> fields, int length) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + Site.HOST
                + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (length > 0 || method.equals("POST")) {
            head.append("Content-Length: ").append(length).append("\r\n");
        }
        return head.append("\r\n").toString();
    }

    /** Sends a request and records it with its answer. */
    static Answer send(Site site, Node entry, String method, String path, long deadlineMs, Map<String, String> fields, byte[] body) {
        Answer answer = exchange(entry, method, path, deadlineMs, fields, body);
        site.log("sent " + answer.requestId() + " " + method + " " + path + " to " + entry.name() + ", " + body.length + " bytes; answered "
                + (answer.status() == 0 ? "nothing: " + answer.text().strip() : answer.status() + "") + " after " + answer.tookMs() + " ms");
        return answer;
    }

    private static Answer exchange(Node entry, String method, String path, long deadlineMs, Map<String, String> fields, byte[] body) {
        String id = newId();
        long beganNs = System.nanoTime();
        try (Socket socket = Wire.connect(entry.front(), (int) deadlineMs + 500)) {
            Wire.write(socket.getOutputStream(), head(method, path, id, deadlineMs, fields, body.length), body);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Wire.Message answer = Wire.message(in);
            if (answer == null) {
                return new Answer(id, 0, false, "", "closed without an answer", tookMs(beganNs));
            }
            return new Answer(id, answer.status(), true, answer.field("x-server-signature"), answer.text(), tookMs(beganNs));
        } catch (IOException | RuntimeException e) {
            return new Answer(id, 0, false, "", e.toString(), tookMs(beganNs));
        }
    }

    private static long tookMs(long beganNs) {
        return (System.nanoTime() - beganNs) / 1_000_000;
    }
}
