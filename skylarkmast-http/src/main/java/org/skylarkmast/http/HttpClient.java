package org.skylarkmast.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.http.protocol.RequestUserAgent;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/** A blocking HTTP/1.1 client that pools idle connections; thread-safe. */
public final class HttpClient implements AutoCloseable {

    /**
     * Longest idle time after which a pooled connection is reused. Well below the idle timeout of
     * servers, since a request may otherwise be sent on a connection that the server has closed.
     */
    private static final long MAX_IDLE_NS = 2_000_000_000L;

    /** Maximum size of a response that is held in memory, as servers accept it of a request. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** Maximum length of a line that is passed to a consumer. */
    private static final int MAX_STREAM_LINE_CHARS = 1 << 20;

    /** Maximum number of interim responses before a final one. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    private static final Http1Config LIMITS =
            Http1Config.custom()
                    .setMaxLineLength(65_536)
                    .setMaxHeaderCount(200)
                    .setMaxEmptyLineCount(10)
                    .build();

    private final int maxIdlePerAddress;
    private final int connectTimeoutMs;
    private final HttpRequestExecutor executor = new HttpRequestExecutor();
    private final HttpProcessor processor = createProcessor();
    private final Map<String, Deque<IdleConnection>> idleByAddress = new ConcurrentHashMap<>();

    private record IdleConnection(ClientConnection connection, long idleSinceNs) {}

    /**
     * Creates a client.
     *
     * @param maxIdlePerAddress maximum number of pooled connections to one address
     * @param connectTimeoutMs TCP connect timeout
     */
    public HttpClient(int maxIdlePerAddress, int connectTimeoutMs) {
        this.maxIdlePerAddress = maxIdlePerAddress;
        this.connectTimeoutMs = connectTimeoutMs;
    }

    /** Sends a request and reads the complete response. */
    public HttpOutcome send(ClientRequest request) {
        return exchange(request, null, new AbortSignal());
    }

    /** Sends a request that {@code abort} can abort, and reads the complete response. */
    public HttpOutcome send(ClientRequest request, AbortSignal abort) {
        return exchange(request, null, abort);
    }

    /**
     * Sends a request and passes the lines of a 2xx response to {@code consumer} as they arrive;
     * other responses are returned with their body.
     *
     * @param abort aborts the exchange from another thread; the outcome is then {@link
     *     HttpOutcome.Broken}
     */
    public HttpOutcome stream(ClientRequest request, AbortSignal abort, LineConsumer consumer) {
        return exchange(request, consumer, abort);
    }

    @Override
    public void close() {
        for (Deque<IdleConnection> idle : idleByAddress.values()) {
            for (IdleConnection pooled = idle.poll(); pooled != null; pooled = idle.poll()) {
                pooled.connection().close(CloseMode.IMMEDIATE);
            }
        }
    }

    private HttpOutcome exchange(ClientRequest request, LineConsumer consumer, AbortSignal abort) {
        HttpHost host;
        ClientConnection connection;
        try {
            host = HttpHost.create("http://" + request.address());
            connection = acquireConnection(request, host);
        } catch (IOException | java.net.URISyntaxException | IllegalArgumentException e) {
            return new HttpOutcome.NotSent(String.valueOf(e.getMessage()));
        }
        boolean reusable = false;
        abort.onAbort(() -> connection.close(CloseMode.IMMEDIATE));
        try {
            connection.setSocketTimeout(Timeout.ofMilliseconds(request.timeoutMs()));
            HttpCoreContext context = HttpCoreContext.create();
            ClassicHttpRequest message = toMessage(request, host);
            executor.preProcess(message, processor, context);
            AtomicInteger interim = new AtomicInteger();
            try (ClassicHttpResponse response =
                    executor.execute(
                            message,
                            connection,
                            (information, on, in) -> limitInterim(interim, connection),
                            context)) {
                executor.postProcess(response, processor, context);
                HttpOutcome outcome = readResponse(response, consumer, connection);
                reusable =
                        outcome instanceof HttpOutcome.Answered
                                && executor.keepAlive(message, response, connection, context);
                return outcome;
            }
        } catch (SocketTimeoutException e) {
            return new HttpOutcome.TimedOut();
        } catch (IOException | HttpException | RuntimeException e) {
            return new HttpOutcome.Broken(String.valueOf(e.getMessage()));
        } finally {
            abort.onAbort(null);
            if (reusable && !abort.aborted()) {
                returnToPool(request.address(), connection);
            } else {
                connection.close(CloseMode.IMMEDIATE);
            }
        }
    }

    private static void limitInterim(AtomicInteger interim, DefaultBHttpClientConnection connection)
            throws ProtocolException {
        if (interim.incrementAndGet() > MAX_INTERIM_RESPONSES) {
            connection.close(CloseMode.IMMEDIATE);
            throw new ProtocolException(
                    "more than " + MAX_INTERIM_RESPONSES + " interim responses before a final one");
        }
    }

    private ClientConnection acquireConnection(ClientRequest request, HttpHost host)
            throws IOException {
        Deque<IdleConnection> idle = idleByAddress.get(request.address());
        while (!request.freshConnection() && idle != null) {
            IdleConnection pooled = idle.pollFirst();
            if (pooled == null) {
                break;
            }
            if (System.nanoTime() - pooled.idleSinceNs() < MAX_IDLE_NS
                    && pooled.connection().isReusable()) {
                return pooled.connection();
            }
            pooled.connection().close(CloseMode.IMMEDIATE);
        }
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(host.getHostName(), host.getPort()), connectTimeoutMs);
            return new ClientConnection(socket);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /**
     * Creates HttpCore's default processor without {@code Expect: 100-continue}: bodies are small,
     * and a server that does not support it would delay each request by seconds.
     */
    private static HttpProcessor createProcessor() {
        return HttpProcessorBuilder.create()
                .addAll(
                        RequestTargetHost.INSTANCE,
                        RequestContent.INSTANCE,
                        RequestConnControl.INSTANCE,
                        new RequestUserAgent("skylarkmast"))
                .build();
    }

    private static ClassicHttpRequest toMessage(ClientRequest request, HttpHost host) {
        ClassicRequestBuilder builder =
                ClassicRequestBuilder.create(request.method())
                        .setHttpHost(host)
                        .setPath(request.path());
        request.headers().forEach(builder::setHeader);
        if (request.body().length > 0) {
            String type = request.headers().getOrDefault("Content-Type", "application/json");
            builder.setEntity(new ByteArrayEntity(request.body(), ContentType.parse(type)));
        }
        return builder.build();
    }

    private static HttpOutcome readResponse(
            ClassicHttpResponse response,
            LineConsumer consumer,
            DefaultBHttpClientConnection connection)
            throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (Header header : response.getHeaders()) {
            headers.putIfAbsent(header.getName().toLowerCase(Locale.ROOT), header.getValue());
        }
        if (response.getEntity() == null) {
            return new HttpOutcome.Answered(response.getCode(), headers, new byte[0]);
        }
        try (InputStream in = response.getEntity().getContent()) {
            if (consumer == null || response.getCode() / 100 != 2) {
                byte[] body = in.readNBytes(MAX_RESPONSE_BYTES + 1);
                if (body.length > MAX_RESPONSE_BYTES) {
                    return stopReading(
                            connection, "response is longer than " + MAX_RESPONSE_BYTES + " bytes");
                }
                return new HttpOutcome.Answered(response.getCode(), headers, body);
            }
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
            return switch (passLines(reader, consumer)) {
                case COMPLETE -> new HttpOutcome.Answered(response.getCode(), headers, new byte[0]);
                case INSIDE_LINE -> new HttpOutcome.Broken("response ended inside a line");
                case LONG_LINE -> stopReading(connection, "line of the response is too long");
                case STOPPED -> stopReading(connection, "consumer stopped reading");
            };
        }
    }

    /**
     * Closes the connection at once: closing the body first would drain it, and it may be endless.
     */
    private static HttpOutcome stopReading(DefaultBHttpClientConnection connection, String reason) {
        connection.close(CloseMode.IMMEDIATE);
        return new HttpOutcome.Broken(reason);
    }

    /** How a response that was read by lines ended. */
    private enum LinesEnd {
        COMPLETE,
        INSIDE_LINE,
        LONG_LINE,
        STOPPED
    }

    /** Passes on complete lines; a response without length may end inside a line. */
    private static LinesEnd passLines(BufferedReader reader, LineConsumer consumer)
            throws IOException {
        StringBuilder line = new StringBuilder();
        boolean afterCarriageReturn = false;
        for (int next = reader.read(); next >= 0; next = reader.read()) {
            boolean completesCrLf = next == '\n' && afterCarriageReturn;
            afterCarriageReturn = next == '\r';
            if (completesCrLf) {
                continue;
            }
            if (next != '\n' && next != '\r') {
                line.append((char) next);
                if (line.length() > MAX_STREAM_LINE_CHARS) {
                    return LinesEnd.LONG_LINE;
                }
                continue;
            }
            if (!consumer.onLine(line.toString())) {
                return LinesEnd.STOPPED;
            }
            line.setLength(0);
        }
        return line.isEmpty() ? LinesEnd.COMPLETE : LinesEnd.INSIDE_LINE;
    }

    private void returnToPool(String address, ClientConnection connection) {
        Deque<IdleConnection> idle =
                idleByAddress.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
        if (idle.size() >= maxIdlePerAddress || !connection.isReusable()) {
            connection.close(CloseMode.GRACEFUL);
            return;
        }
        idle.addFirst(new IdleConnection(connection, System.nanoTime()));
    }

    /** A connection that accepts complete and well-formed responses only. */
    private static final class ClientConnection extends DefaultBHttpClientConnection {
        private final Socket socket;
        private final ResponseParser parser;

        ClientConnection(Socket socket) throws IOException {
            this(socket, new ResponseParser());
        }

        private ClientConnection(Socket socket, ResponseParser parser) throws IOException {
            // The connection's own parser would not apply the limits.
            super(LIMITS, null, null, ClientConnection::bodyLength, null, null, _ -> parser);
            this.socket = socket;
            this.parser = parser;
            bind(socket);
        }

        /** Whether it is open and nothing that no request asked for has arrived on it. */
        boolean isReusable() {
            try {
                return isOpen()
                        && parser.bufferedBytes() == 0
                        && socket.getInputStream().available() == 0;
            } catch (IOException e) {
                return false;
            }
        }

        @Override
        protected InputStream createContentInputStream(
                long length, SessionInputBuffer buffer, InputStream in) {
            return super.createContentInputStream(
                    length, ResponseInput.ofBody(CompleteLineInput.ofResponseBody(buffer)), in);
        }

        private static long bodyLength(HttpMessage response) throws ProtocolException {
            BodyLength length =
                    BodyLength.of(
                            values(response, HttpHeaders.TRANSFER_ENCODING),
                            values(response, HttpHeaders.CONTENT_LENGTH));
            return switch (length) {
                case BodyLength.Undeclared undeclared -> ContentLengthStrategy.UNDEFINED;
                case BodyLength.Chunked chunked -> ContentLengthStrategy.CHUNKED;
                case BodyLength.Bytes bytes -> bytes.count();
                case BodyLength.Invalid invalid -> throw new ProtocolException(invalid.reason());
            };
        }

        private static List<String> values(HttpMessage response, String name) {
            return Arrays.stream(response.getHeaders(name)).map(Header::getValue).toList();
        }
    }

    private static final class ResponseParser extends DefaultHttpResponseParser {
        private SessionInputBuffer lastInput;

        ResponseParser() {
            super(LIMITS);
        }

        @Override
        public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream in)
                throws IOException, HttpException {
            lastInput = buffer;
            return super.parse(ResponseInput.ofHead(CompleteLineInput.ofResponseHead(buffer)), in);
        }

        /** Returns the number of bytes that were received and not yet read. */
        int bufferedBytes() {
            return lastInput == null ? 0 : lastInput.length();
        }
    }
}
