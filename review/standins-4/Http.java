import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes the HTTP/1.1 messages of the stand-ins. */
final class Http {
    private Http() {}

    /** A message whose body, if it was read, is complete. */
    static final class Message {
        String startLine = "";
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String method() {
            return startLine.split(" ")[0];
        }
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 4096);
    }

    /** Returns the head of the next message, or null if the channel ended before it. */
    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in, true);
        if (start == null) {
            return null;
        }
        Message message = new Message();
        message.startLine = start;
        for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            if (colon < 1) {
                throw new IOException("malformed field: " + line);
            }
            message.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return message;
    }

    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.body = readBody(in, message, true);
        }
        return message;
    }

    static byte[] readBody(InputStream in, Message message, boolean request) throws IOException {
        if (message.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk.length == 0) {
                    return body.toByteArray();
                }
                body.write(chunk);
            }
        }
        String length = message.field("content-length");
        if (!length.isEmpty()) {
            byte[] body = in.readNBytes(Integer.parseInt(length));
            if (body.length < Integer.parseInt(length)) {
                throw new EOFException("body is cut off");
            }
            return body;
        }
        return request ? new byte[0] : in.readAllBytes();
    }

    /** Returns the next chunk; empty at the end of the body. */
    static byte[] readChunk(InputStream in) throws IOException {
        int size = Integer.parseInt(readLine(in, false).split(";")[0].strip(), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size) {
            throw new EOFException("chunk is cut off");
        }
        readLine(in, false);
        return chunk;
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (mayEnd && line.isEmpty()) {
                    return null;
                }
                throw new EOFException("head is cut off");
            }
            if (next == '\n') {
                break;
            }
            line.append((char) next);
        }
        int length = line.length();
        return length > 0 && line.charAt(length - 1) == '\r'
                ? line.substring(0, length - 1)
                : line.toString();
    }

    static byte[] message(String startLine, Map<String, String> fields, byte[] body) {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            message.writeBytes(body);
        }
        return message.toByteArray();
    }

    static byte[] chunk(byte[] bytes) {
        ByteArrayOutputStream chunk = new ByteArrayOutputStream();
        chunk.writeBytes(
                (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        chunk.writeBytes(bytes);
        chunk.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
        return chunk.toByteArray();
    }
}
