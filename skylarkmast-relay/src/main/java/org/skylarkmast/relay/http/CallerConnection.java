package org.skylarkmast.relay.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.ChunkedInputStream;
import org.apache.hc.core5.http.impl.io.ContentLengthInputStream;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.skylarkmast.http.BodyCollector;
import org.skylarkmast.http.FairInput;
import org.skylarkmast.http.IntakeMeter;

/**
 * A connection accepted from a caller; parses requests strictly and writes the answers.
 *
 * <p>Not thread-safe: one thread owns it. {@link #abort} and {@link #close} may be called by any
 * thread.
 */
public final class CallerConnection {
    private static final Http1Config LIMITS =
            Http1Config.custom().setMaxHeaderCount(200).setMaxEmptyLineCount(1).build();
    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Socket socket;
    private final ReadAheadInput input;
    private final IntakeMeter meter;
    private final OutputStream output;

    /** Time of {@link System#nanoTime} at which the write in progress began; 0 if there is none. */
    private volatile long writeBeganNs;

    /** As the other constructor, without charges. */
    public CallerConnection(Socket socket, IntSupplier maxHeadBytes) throws IOException {
        this(socket, maxHeadBytes, IntakeMeter.UNLIMITED);
    }

    /**
     * @param maxHeadBytes returns the maximum size in bytes of a request head that begins now
     * @param meter charged with what a request takes while it is received
     * @throws IOException if the socket is closed
     */
    public CallerConnection(Socket socket, IntSupplier maxHeadBytes, IntakeMeter meter)
            throws IOException {
        this.socket = socket;
        this.meter = meter;
        this.input =
                new ReadAheadInput(
                        new FairInput(socket.getInputStream()), maxHeadBytes, true, meter);
        this.output = socket.getOutputStream();
    }

    /** Waits for the first byte of a request; returns false if the caller closed the connection. */
    public boolean awaitRequest() throws IOException {
        return input.awaitInput();
    }

    /** Whether input that no request has consumed was read, or the end of the input was. */
    public boolean hasInput() {
        return !input.isIdle();
    }

    /**
     * Reads the request line and the header fields of a request.
     *
     * @throws MalformedMessageException if the request is not valid HTTP/1.1
     */
    public InboundRequest readHead() throws IOException {
        input.beginHead();
        ClassicHttpRequest parsed;
        try {
            parsed =
                    new DefaultHttpRequestParser(LIMITS)
                            .parse(input, InputStream.nullInputStream());
        } catch (HttpException e) {
            throw new MalformedMessageException(withoutContent(e));
        }
        input.endHead();
        if (parsed == null) {
            throw new IOException("connection closed before a request line was received");
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
                        && !all.containsToken("Connection", "close");
        return new InboundRequest(
                parsed.getMethod(),
                target,
                all,
                framing,
                persistent,
                all.containsToken("Expect", "100-continue"));
    }

    /** The parser's messages quote the line after a colon, which may hold a caller's key. */
    private static String withoutContent(HttpException e) {
        String message = String.valueOf(e.getMessage());
        int colon = message.indexOf(':');
        return colon < 0 ? message : message.substring(0, colon);
    }

    /** Returns the address of the caller. */
    public SocketAddress remoteAddress() {
        return socket.getRemoteSocketAddress();
    }

    /**
     * Returns for how long the write in progress has been waiting for the caller to read, in ns; 0
     * if none is in progress. May be called by any thread.
     *
     * @param nowNs current time of {@link System#nanoTime}
     */
    public long blockedWriteNs(long nowNs) {
        long beganNs = writeBeganNs;
        return beganNs == 0 ? 0 : Math.max(0, nowNs - beganNs);
    }

    /**
     * Ends the input: reads return as if the caller had closed the connection, and an answer can
     * still be written. May be called by any thread.
     */
    public void endInput() {
        try {
            socket.shutdownInput();
        } catch (IOException ignored) {
            // The socket is already closed.
        }
    }

    /**
     * Reads the complete body, after an interim answer 100 if the caller waits for one.
     *
     * @return the body, or null if it is longer than {@code maxBytes}
     */
    public byte[] readBody(InboundRequest request, long maxBytes) throws IOException {
        if (request.expectsContinue() && !(request.framing() instanceof Framing.Empty)) {
            output.write(CONTINUE);
            output.flush();
        }
        InputStream placeholder = InputStream.nullInputStream();
        InputStream body =
                switch (request.framing()) {
                    case Framing.Empty empty -> placeholder;
                    case Framing.Length length -> {
                        if (length.bytes() > maxBytes) {
                            yield null;
                        }
                        yield new ContentLengthInputStream(input, placeholder, length.bytes());
                    }
                    case Framing.Chunked chunked ->
                            new ChunkedInputStream(input, placeholder, LIMITS);
                    case Framing.UntilClose untilClose -> placeholder;
                };
        if (body == null) {
            return null;
        }
        long announcedBytes =
                switch (request.framing()) {
                    case Framing.Length length -> length.bytes();
                    case Framing.Empty empty -> 0;
                    case Framing.Chunked chunked -> -1;
                    case Framing.UntilClose untilClose -> 0;
                };
        try {
            return BodyCollector.collect(body, announcedBytes, maxBytes, meter);
        } catch (org.apache.hc.core5.http.MalformedChunkCodingException e) {
            throw new MalformedMessageException(String.valueOf(e.getMessage()));
        }
    }

    /**
     * Reads and discards a body of known length.
     *
     * @param bytes its length
     */
    public void discardBody(long bytes) throws IOException {
        byte[] discarded = new byte[4096];
        long remaining = bytes;
        while (remaining > 0) {
            int count =
                    input.read(
                            discarded,
                            0,
                            (int) Math.min(discarded.length, remaining),
                            InputStream.nullInputStream());
            if (count < 0) {
                throw new IOException("connection closed before the end of the body");
            }
            remaining -= count;
        }
    }

    /** Runs {@code onDisconnect} if the caller disconnects while its request is being processed. */
    public void detectDisconnect(Runnable onDisconnect) {
        input.startReadAhead(onDisconnect, () -> {});
    }

    /** Writes a complete answer. */
    public void writeAnswer(int status, HeaderFields fields, byte[] body, boolean close)
            throws IOException {
        boolean bodyless = status == 204 || status == 304;
        HeaderFields framedFields =
                bodyless ? fields : fields.with("Content-Length", Integer.toString(body.length));
        ByteArrayOutputStream message = new ByteArrayOutputStream(512 + body.length);
        writeHead(message, status, framedFields, close);
        if (!bodyless) {
            message.write(body);
        }
        send(message);
    }

    /** Writes the head of an answer whose body is sent with chunked transfer encoding. */
    public void beginStream(int status, HeaderFields fields, boolean close) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream(512);
        writeHead(message, status, fields.with("Transfer-Encoding", "chunked"), close);
        send(message);
    }

    /** Writes one chunk and flushes it. */
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
        send(chunk);
    }

    /** Writes the last chunk, which makes the answer complete. */
    public void endStream() throws IOException {
        ByteArrayOutputStream end = new ByteArrayOutputStream(8);
        end.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        send(end);
    }

    private void send(ByteArrayOutputStream message) throws IOException {
        // 0 stands for no write in progress.
        writeBeganNs = System.nanoTime() | 1;
        try {
            message.writeTo(output);
            output.flush();
        } finally {
            writeBeganNs = 0;
        }
    }

    /**
     * Closes the connection with a reset, so that a truncated answer never looks complete. May be
     * called by any thread.
     */
    public void abort() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException ignored) {
            // The socket is already closed.
        }
        close();
    }

    /** Closes the connection. May be called by any thread. */
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // A socket that fails to close holds nothing that could still be released.
        }
    }

    /**
     * Closes the connection after an answer that was sent before the whole request was read.
     *
     * <p>Shuts down output first, then discards remaining input. Closing with unread input would
     * reset the connection, and the caller could lose the answer. Ends after four times {@code
     * lingerMs} by {@link System#nanoTime} whatever arrives.
     *
     * @param lingerMs longest wait for each read of remaining input, in ms
     * @param maxDiscardedBytes number of bytes of remaining input after which the connection is
     *     closed nevertheless
     */
    public void closeAfterAnswer(int lingerMs, long maxDiscardedBytes) {
        try {
            long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(4L * lingerMs);
            socket.shutdownOutput();
            socket.setSoTimeout(lingerMs);
            long discardedBytes = 0;
            byte[] discarded = new byte[4096];
            InputStream rest = socket.getInputStream();
            for (int n = rest.read(discarded);
                    n >= 0
                            && discardedBytes < maxDiscardedBytes
                            && System.nanoTime() - deadlineNs < 0;
                    n = rest.read(discarded)) {
                discardedBytes += n;
            }
        } catch (IOException ignored) {
            // The caller closed the connection or did not close it in time; it is closed below.
        }
        close();
    }

    private static void writeHead(
            ByteArrayOutputStream out, int status, HeaderFields fields, boolean close) {
        StringBuilder head = new StringBuilder(256);
        head.append("HTTP/1.1 ").append(status).append(' ').append(ReasonPhrases.of(status));
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
