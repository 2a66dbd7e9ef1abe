import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages strictly. */
final class Http {
    private static final int MAX_LINE = 65_536;

    private Http() {}

    /** Thrown if bytes arrive that are no HTTP/1.1 message. */
    static final class NoMessageException extends IOException {
        NoMessageException(String message) {
            super(message);
        }
    }

    /** First line and fields of a message; names in lower case. */
    record Head(String line, Map<String, String> fields) {}

    /** Reads a head; null if the channel ends before it. */
    static Head readHead(BufferedInputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        while (true) {
            String field = readLine(in);
            if (field == null) {
                throw new EOFException("ended inside a head");
            }
            if (field.isEmpty()) {
                return new Head(line, fields);
            }
            int colon = field.indexOf(':');
            if (colon <= 0) {
                throw new NoMessageException("no field: " + field);
            }
            fields.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).strip());
        }
    }

    /** Reads a body of known length. */
    static byte[] readLength(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("ended after " + body.length + " of " + length + " bytes");
        }
        return body;
    }

    /** Receives the parts of a chunked body as they arrive. */
    interface ChunkListener {
        void onChunk(byte[] chunk);
    }

    /** Reads a chunked body up to its end. */
    static void readChunked(BufferedInputStream in, ChunkListener listener) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new EOFException("ended before the last chunk");
            }
            if (!size.matches("[0-9a-fA-F]{1,8}")) {
                throw new NoMessageException("no size of a chunk: " + size);
            }
            int length = Integer.parseInt(size, 16);
            if (length > 0) {
                listener.onChunk(readLength(in, length));
            }
            String end = readLine(in);
            if (end == null) {
                throw new EOFException("ended inside a chunk");
            }
            if (!end.isEmpty()) {
                throw new NoMessageException("no end of a chunk: " + end);
            }
            if (length == 0) {
                return;
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("ended inside a line");
            }
            line.write(b);
            if (line.size() > MAX_LINE) {
                throw new NoMessageException("line too long");
            }
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
