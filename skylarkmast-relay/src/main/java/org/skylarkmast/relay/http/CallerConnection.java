package org.skylarkmast.relay.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.ChunkedInputStream;
import org.apache.hc.core5.http.impl.io.ContentLengthInputStream;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;

/**
 * A caller's connection: reads requests strictly and writes answers.
 *
 * <p>Owned by one thread; {@link #abort} may be called by any.
 */
public final class CallerConnection {
    private static final Http1Config LIMITS =
            Http1Config.custom().setMaxHeaderCount(200).setMaxEmptyLineCount(1).build();
    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Socket socket;
    private final WatchedInput input;
    private final OutputStream output;

    /**
     * @param maxHeadBytes longest head accepted, in bytes
     * @throws IOException if the socket is closed
     */
    public CallerConnection(Socket socket, int maxHeadBytes) throws IOException {
        this.socket = socket;
        this.input = new WatchedInput(socket.getInputStream(), maxHeadBytes, true);
        this.output = socket.getOutputStream();
    }

    /** Waits for the first byte of a request; false if the caller closed. */
    public boolean awaitRequest() throws IOException {
        return input.awaitInput();
    }

    /**
     * Reads the head of a request.
     *
     * @throws MalformedMessageException if it is not a proper request
     */
    public InboundRequest readHead() throws IOException {
        input.beginHead();
        ClassicHttpRequest parsed;
        try {
            parsed =
                    new DefaultHttpRequestParser(LIMITS)
                            .parse(input, InputStream.nullInputStream());
        } catch (HttpException e) {
            throw new MalformedMessageException(String.valueOf(e.getMessage()));
        }
        input.endHead();
        if (parsed == null) {
            throw new IOException("connection ended");
        }
        List<HeaderFields.Field> fields = new ArrayList<>();
        for (Header header : parsed.getHeaders()) {
            String value = header.getValue() == null ? "" : header.getValue();
            RequestSyntax.checkField(header.getName(), value);
            fields.add(new HeaderFields.Field(header.getName(), value));
        }
        HeaderFields all = new HeaderFields(fields);
        String target = RequestSyntax.checkedTarget(parsed);
        RequestSyntax.checkHost(all);
        Framing framing = Framing.of(all, new Framing.Empty());
        boolean persistent =
                HttpVersion.HTTP_1_1.equals(parsed.getVersion())
                        && !all.lists("Connection", "close");
        return new InboundRequest(
                parsed.getMethod(),
                target,
                all,
                framing,
                persistent,
                all.lists("Expect", "100-continue"));
    }

    /**
     * Reads the body whole.
     *
     * @return null if it is longer than {@code maxBytes}
     */
    public byte[] readBody(InboundRequest request, long maxBytes) throws IOException {
        if (request.expectsContinue() && !(request.framing() instanceof Framing.Empty)) {
            output.write(CONTINUE);
            output.flush();
        }
        InputStream unused = InputStream.nullInputStream();
        InputStream body =
                switch (request.framing()) {
                    case Framing.Empty empty -> unused;
                    case Framing.Length length -> {
                        if (length.bytes() > maxBytes) {
                            yield null;
                        }
                        yield new ContentLengthInputStream(input, unused, length.bytes());
                    }
                    case Framing.Chunked chunked -> new ChunkedInputStream(input, unused, LIMITS);
                    case Framing.UntilClose untilClose -> unused;
                };
        if (body == null) {
            return null;
        }
        byte[] bytes;
        try {
            bytes = body.readNBytes((int) Math.min(maxBytes + 1, Integer.MAX_VALUE - 8));
        } catch (org.apache.hc.core5.http.MalformedChunkCodingException e) {
            throw new MalformedMessageException(String.valueOf(e.getMessage()));
        }
        return bytes.length > maxBytes ? null : bytes;
    }

    /** Calls {@code onGone} if the caller closes while its request is served. */
    public void watch(Runnable onGone) {
        input.watch(onGone, () -> {});
    }

    /** Writes a complete answer. */
    public void writeAnswer(int status, HeaderFields fields, byte[] body, boolean close)
            throws IOException {
        boolean bodyless = status == 204 || status == 304;
        HeaderFields framed =
                bodyless ? fields : fields.with("Content-Length", Integer.toString(body.length));
        ByteArrayOutputStream message = new ByteArrayOutputStream(512 + body.length);
        writeHead(message, status, framed, close);
        if (!bodyless) {
            message.write(body);
        }
        message.writeTo(output);
        output.flush();
    }

    /** Writes the head of an answer whose body follows in chunks. */
    public void beginStream(int status, HeaderFields fields, boolean close) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream(512);
        writeHead(message, status, fields.with("Transfer-Encoding", "chunked"), close);
        message.writeTo(output);
        output.flush();
    }

    /** Writes one chunk, which reaches the caller at once. */
    public void writeChunk(byte[] bytes, int offset, int length) throws IOException {
        if (length == 0) {
            return;
        }
        ByteArrayOutputStream chunk = new ByteArrayOutputStream(length + 16);
        chunk.writeBytes(
                (Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        chunk.write(bytes, offset, length);
        chunk.write('\r');
        chunk.write('\n');
        chunk.writeTo(output);
        output.flush();
    }

    /** Writes the last chunk, which makes the answer complete. */
    public void endStream() throws IOException {
        output.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    /** Resets the connection so that a cut answer never looks complete; any thread may call it. */
    public void abort() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException ignored) {
            // The socket is closed already.
        }
        close();
    }

    /** Closes the connection; any thread may call it. */
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to release.
        }
    }

    /** Ends the answer side first, so that a refused caller can still read what was written. */
    public void closeAfterAnswer(int lingerMs) {
        try {
            socket.shutdownOutput();
            socket.setSoTimeout(lingerMs);
            long skipped = 0;
            byte[] scrap = new byte[4096];
            InputStream rest = socket.getInputStream();
            for (int n = rest.read(scrap); n >= 0 && skipped < 1 << 20; n = rest.read(scrap)) {
                skipped += n;
            }
        } catch (IOException ignored) {
            // The caller closed first or sent on; both end here.
        }
        close();
    }

    private static void writeHead(
            ByteArrayOutputStream out, int status, HeaderFields fields, boolean close) {
        StringBuilder head = new StringBuilder(256);
        head.append("HTTP/1.1 ").append(status).append(' ').append(Reasons.of(status));
        head.append("\r\n");
        for (HeaderFields.Field field : fields.fields()) {
            head.append(field.name()).append(": ").append(field.value()).append("\r\n");
        }
        if (close) {
            head.append("Connection: close\r\n");
        }
        head.append("\r\n");
        out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    }
}
