import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;

/**
 * A caller that keeps its channel asks by HEAD for a route that does not exist, then sends an
 * ordinary request on the same channel. Between the two answers no other bytes may arrive.
 */
final class HeadRefusalCase {
    private static final int ROUNDS = 5;

    private HeadRefusalCase() {}

    static boolean holds(Site site, boolean trouble) throws Exception {
        // TROUBLE=0 asks for a route that exists, whose runner answers HEAD without a body.
        String path = trouble ? "/none/x" : "/safe/x";
        boolean held = true;
        for (int round = 1; round <= ROUNDS; round++) {
            Node entry = site.entries.get(round % site.entries.size());
            try (Socket socket = Wire.connect(entry.front(), 3000)) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                Wire.write(out, Caller.head("HEAD", path, Caller.newId(), 1200, Map.of(), 0), new byte[0]);
                Wire.Message first = Wire.head(in);
                site.log("HEAD " + path + ": " + first.start() + ", Content-Length " + first.field("content-length")
                        + ", Connection " + first.field("connection"));
                if (first.field("connection").equalsIgnoreCase("close")) {
                    continue;
                }
                // An answer to HEAD ends with its head (RFC 9110, 9.3.2): the next bytes are the next answer.
                String id = Caller.newId();
                Wire.write(out, Caller.head("GET", "/safe/y", id, 1200, Map.of(), 0), new byte[0]);
                String line = Wire.line(in);
                site.log("GET /safe/y " + id + ", first line received: " + line);
                held &= line != null && line.startsWith("HTTP/1.1 ");
            }
        }
        return held;
    }
}
