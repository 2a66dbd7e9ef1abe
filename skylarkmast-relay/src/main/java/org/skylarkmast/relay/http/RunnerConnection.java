package org.skylarkmast.relay.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.ChunkedInputStream;
import org.apache.hc.core5.http.impl.io.ContentLengthInputStream;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.impl.io.IdentityInputStream;
import org.skylarkmast.http.ResponseInput;

/**
 * A connection to a runner that carries one exchange at a time.
 *
 * <p>Not thread-safe: one thread owns it. {@link #abort} may be called by any thread.
 */
public final class RunnerConnection {
    private static final int MAX_HEAD_BYTES = 16_384;

    /** Maximum number of interim answers before a final one. */
    private static final int MAX_INTERIM_ANSWERS = 8;

    /** Longest body that is read only for the reuse of a connection. */
    private static final int MAX_DISCARDED_BYTES = 16_384;

    private static final Http1Config LIMITS =
            Http1Config.custom().setMaxHeaderCount(200).setMaxEmptyLineCount(1).build();

    private final Socket socket;
    private final ReadAheadInput input;
    private final OutputStream output;

    private RunnerConnection(Socket socket) throws IOException {
        this.socket = socket;
        this.input = new ReadAheadInput(socket.getInputStream(), () -> MAX_HEAD_BYTES, false);
        this.output = socket.getOutputStream();
    }

    /**
     * Opens a connection.
     *
     * @param address {@code host:port}
     * @throws IOException if the connection is not established within {@code timeoutMs}, or the
     *     address is not of that form
     */
    public static RunnerConnection open(String address, int timeoutMs) throws IOException {
        InetSocketAddress destination = parseAddress(address);
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(destination, timeoutMs);
            return new RunnerConnection(socket);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    private static InetSocketAddress parseAddress(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    address.substring(0, Math.max(0, colon)),
                    Integer.parseInt(address.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IOException("not an address of the form host:port: " + address, e);
        }
    }

    /** Writes a complete request. */
    public void send(String method, String target, HeaderFields fields, byte[] body)
            throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream(512 + body.length);
        StringBuilder head = new StringBuilder(512);
        head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        for (HeaderFields.Field field : fields.fields()) {
            head.append(field.name()).append(": ").append(field.value()).append("\r\n");
        }
        if (body.length > 0 || method.equals("POST") || method.equals("PUT")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.writeBytes(body);
        message.writeTo(output);
        output.flush();
    }

    /**
     * Reads the head of the next final answer and skips a few interim (1xx) answers.
     *
     * @throws IOException if the connection breaks, or what arrives is no answer
     */
    public RunnerAnswer readHead(String requestMethod) throws IOException {
        for (int interim = 0; interim <= MAX_INTERIM_ANSWERS; interim++) {
            RunnerAnswer answer = readNextHead(requestMethod);
            if (answer.status() >= 200) {
                return answer;
            }
        }
        throw new MalformedMessageException(
                "more than " + MAX_INTERIM_ANSWERS + " interim answers before a final one");
    }

    /**
     * Reads the rest of an answer that nobody needs, so that the connection can be reused.
     *
     * @return false if the rest is too long for that or ends with the connection; then it must be
     *     closed
     */
    public boolean discardBody(RunnerAnswer answer) throws IOException {
        boolean tooLong =
                answer.framing() instanceof Framing.Length length
                        && length.bytes() > MAX_DISCARDED_BYTES;
        return answer.persistent()
                && !tooLong
                && body(answer).readNBytes(MAX_DISCARDED_BYTES + 1).length <= MAX_DISCARDED_BYTES;
    }

    private RunnerAnswer readNextHead(String requestMethod) throws IOException {
        input.beginHead();
        ClassicHttpResponse parsed;
        try {
            parsed =
                    new DefaultHttpResponseParser(LIMITS)
                            .parse(ResponseInput.ofHead(input), InputStream.nullInputStream());
        } catch (HttpException e) {
            // The parser's message quotes what arrived, which may belong to another request.
            throw new MalformedMessageException("malformed head of an answer");
        }
        input.endHead();
        if (parsed == null) {
            throw new IOException("connection ended before an answer");
        }
        List<HeaderFields.Field> fields = new ArrayList<>();
        for (Header header : parsed.getHeaders()) {
            String value = header.getValue() == null ? "" : header.getValue();
            fields.add(new HeaderFields.Field(header.getName(), value));
        }
        HeaderFields all = new HeaderFields(fields);
        int status = parsed.getCode();
        boolean bodyless =
                status < 200 || status == 204 || status == 304 || requestMethod.equals("HEAD");
        Framing framing =
                bodyless ? new Framing.Empty() : Framing.of(all, new Framing.UntilClose());
        boolean persistent =
                HttpVersion.HTTP_1_1.equals(parsed.getVersion())
                        && !all.containsToken("Connection", "close")
                        && !(framing instanceof Framing.UntilClose);
        return new RunnerAnswer(status, all, framing, persistent);
    }

    /** Returns the body of {@code answer}; reading fails if the body is truncated or malformed. */
    public InputStream body(RunnerAnswer answer) {
        InputStream placeholder = InputStream.nullInputStream();
        return switch (answer.framing()) {
            case Framing.Empty empty -> placeholder;
            case Framing.Length length ->
                    new ContentLengthInputStream(input, placeholder, length.bytes());
            case Framing.Chunked chunked ->
                    new ChunkedInputStream(ResponseInput.ofBody(input), placeholder, LIMITS);
            case Framing.UntilClose untilClose -> new IdentityInputStream(input, placeholder);
        };
    }

    /** Starts to detect unexpected input and a disconnect on the idle connection. */
    void detectDisconnectWhileIdle() {
        input.startReadAhead(() -> {}, () -> {});
    }

    /** Returns whether neither input nor a disconnect followed the last answer. */
    boolean isReusable() {
        return input.isIdle();
    }

    /** Closes the connection, upon which the runner aborts. May be called by any thread. */
    public void abort() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // A socket that fails to close holds nothing that could still be released.
        }
    }
}
