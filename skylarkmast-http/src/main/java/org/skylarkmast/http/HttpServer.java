package org.skylarkmast.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A blocking HTTP/1.1 server.
 *
 * <p>Thread-safe. Each connection is served by its own thread.
 */
public final class HttpServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    /** A caller's connection is closed after this time without data. */
    private static final int IDLE_TIMEOUT_MS = 60_000;

    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_HEADERS = 100;
    private static final long DRAIN_POLL_INTERVAL_MS = 5;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final int maxBodyBytes;
    private final HttpHandler handler;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final org.apache.hc.core5.http.impl.bootstrap.HttpServer server;

    private HttpServer(String host, int port, int maxBodyBytes, HttpHandler handler)
            throws IOException {
        this.maxBodyBytes = maxBodyBytes;
        this.handler = handler;
        HttpRequestHandler handlerForAllPaths = this::serve;
        this.server =
                ServerBootstrap.bootstrap()
                        .setLocalAddress(InetAddress.getByName(host))
                        .setListenerPort(port)
                        .setSocketConfig(
                                SocketConfig.custom()
                                        .setSoTimeout(Timeout.ofMilliseconds(IDLE_TIMEOUT_MS))
                                        .setSoReuseAddress(true)
                                        .setTcpNoDelay(true)
                                        .build())
                        .setHttp1Config(http1Config())
                        .setConnectionFactory(HttpServer::createConnection)
                        .setRequestRouter((request, context) -> handlerForAllPaths)
                        .create();
    }

    /**
     * Starts a server.
     *
     * @param host IP address to listen on
     * @param port port to listen on, or 0 for a free one
     * @param maxBodyBytes requests with a larger body are answered with status 413
     * @throws IOException if the address cannot be bound
     */
    public static HttpServer start(String host, int port, int maxBodyBytes, HttpHandler handler)
            throws IOException {
        HttpServer started = new HttpServer(host, port, maxBodyBytes, handler);
        started.server.start();
        return started;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.getLocalPort();
    }

    /** Returns the number of requests whose response is not yet complete. */
    public int requestsInFlight() {
        return inFlight.get();
    }

    /**
     * Waits until the requests in flight are answered, then closes the server.
     *
     * <p>Requests that arrive while waiting are still answered, with {@code Connection: close}, so
     * that callers that have not yet noticed the shutdown are not disconnected without an answer.
     *
     * @param graceMs longest time to wait
     */
    public void drain(long graceMs) {
        draining.set(true);
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(graceMs);
        try {
            while (inFlight.get() > 0 && System.nanoTime() < deadlineNs) {
                Thread.sleep(DRAIN_POLL_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    @Override
    public void close() {
        server.close(CloseMode.IMMEDIATE);
    }

    private static Http1Config http1Config() {
        return Http1Config.custom()
                .setMaxLineLength(MAX_HEADER_BYTES)
                .setMaxHeaderCount(MAX_HEADERS)
                .build();
    }

    private static DefaultBHttpServerConnection createConnection(Socket socket) throws IOException {
        DefaultBHttpServerConnection connection = new AbortingConnection();
        connection.bind(socket);
        return connection;
    }

    private void serve(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws HttpException, IOException {
        inFlight.incrementAndGet();
        boolean bodyPending = false;
        try {
            HttpReply reply = handle(request);
            if (draining.get()) {
                response.setHeader("Connection", "close");
            }
            bodyPending = write(request, reply, response);
        } finally {
            if (!bodyPending) {
                inFlight.decrementAndGet();
            }
        }
    }

    private HttpReply handle(ClassicHttpRequest request) throws IOException {
        byte[] body = readBody(request.getEntity());
        if (body == null) {
            return HttpReply.text(413, "body is larger than " + maxBodyBytes + " bytes\n");
        }
        ServerRequest received;
        try {
            received = toServerRequest(request, body);
        } catch (IllegalArgumentException | java.net.URISyntaxException e) {
            return HttpReply.text(400, "malformed request target\n");
        }
        try {
            return handler.handle(received);
        } catch (RuntimeException e) {
            LOG.atError()
                    .addKeyValue("event", "request_handler_failed")
                    .addKeyValue("method", received.method())
                    .addKeyValue("path", received.path())
                    .setCause(e)
                    .log();
            return HttpReply.text(500, "internal error\n");
        }
    }

    private byte[] readBody(HttpEntity entity) throws IOException {
        if (entity == null) {
            return new byte[0];
        }
        try (InputStream in = entity.getContent()) {
            byte[] body = in.readNBytes(maxBodyBytes + 1);
            return body.length > maxBodyBytes ? null : body;
        }
    }

    private static ServerRequest toServerRequest(ClassicHttpRequest request, byte[] body)
            throws java.net.URISyntaxException {
        URI uri = new URI(request.getRequestUri());
        Map<String, String> headers = new HashMap<>();
        for (Header header : request.getHeaders()) {
            headers.putIfAbsent(header.getName().toLowerCase(Locale.ROOT), header.getValue());
        }
        String path = uri.getPath() == null ? "/" : uri.getPath();
        return new ServerRequest(
                request.getMethod(), path, parseQuery(uri.getRawQuery()), headers, body);
    }

    private static Map<String, String> parseQuery(String rawQuery) {
        Map<String, String> query = new HashMap<>();
        if (rawQuery == null) {
            return query;
        }
        for (String pair : rawQuery.split("&", -1)) {
            int equals = pair.indexOf('=');
            String name = equals < 0 ? pair : pair.substring(0, equals);
            String value = equals < 0 ? "" : pair.substring(equals + 1);
            query.putIfAbsent(decode(name), decode(value));
        }
        return query;
    }

    private static String decode(String encoded) {
        return URLDecoder.decode(encoded, StandardCharsets.UTF_8);
    }

    /** Returns whether a body will be written; writing it decrements {@link #inFlight}. */
    private boolean write(
            ClassicHttpRequest request, HttpReply reply, ClassicHttpResponse response) {
        switch (reply) {
            case HttpReply.Full full -> {
                response.setCode(full.status());
                full.headers().forEach(response::setHeader);
                HttpEntity entity =
                        new ByteArrayEntity(full.body(), ContentType.parse(full.contentType()));
                response.setEntity(new InFlightEntity(entity, entity::writeTo));
            }
            case HttpReply.Streamed streamed -> {
                response.setCode(streamed.status());
                streamed.headers().forEach(response::setHeader);
                HttpEntity entity =
                        new ByteArrayEntity(
                                new byte[0], ContentType.parse(streamed.contentType()), true);
                response.setEntity(new InFlightEntity(entity, streamed.body()));
            }
        }
        int status = response.getCode();
        if (status == NO_CONTENT || status == NOT_MODIFIED || request.getMethod().equals("HEAD")) {
            response.setEntity(null);
            return false;
        }
        return true;
    }

    /** An entity that decrements {@link #inFlight} once it is written. */
    private final class InFlightEntity extends HttpEntityWrapper {
        private final HttpReply.StreamBody body;

        InFlightEntity(HttpEntity delegate, HttpReply.StreamBody body) {
            super(delegate);
            this.body = body;
        }

        @Override
        public void writeTo(OutputStream out) throws IOException {
            try {
                body.writeTo(out);
                out.flush();
            } finally {
                inFlight.decrementAndGet();
            }
        }
    }

    /**
     * Closes the connection when writing a body fails, so that no final chunk is sent and the
     * caller detects the truncated body. Takes no request for whole that ends inside its head or
     * trailers.
     */
    private static final class AbortingConnection extends DefaultBHttpServerConnection {

        AbortingConnection() {
            super("http", http1Config(), null, null, null, null, _ -> new RequestParser(), null);
        }

        @Override
        protected InputStream createContentInputStream(
                long length, SessionInputBuffer buffer, InputStream in) {
            return super.createContentInputStream(length, CompleteLineInput.ofBody(buffer), in);
        }

        @Override
        public void sendResponseEntity(ClassicHttpResponse response)
                throws HttpException, IOException {
            HttpEntity entity = response.getEntity();
            if (entity != null) {
                response.setEntity(
                        new HttpEntityWrapper(entity) {
                            @Override
                            public void writeTo(OutputStream out) throws IOException {
                                try {
                                    super.writeTo(out);
                                } catch (IOException | RuntimeException e) {
                                    AbortingConnection.this.close(CloseMode.IMMEDIATE);
                                    throw e;
                                }
                            }
                        });
            }
            super.sendResponseEntity(response);
        }
    }

    private static final class RequestParser extends DefaultHttpRequestParser {

        RequestParser() {
            super(http1Config());
        }

        @Override
        public ClassicHttpRequest parse(SessionInputBuffer buffer, InputStream in)
                throws IOException, HttpException {
            return super.parse(CompleteLineInput.ofHead(buffer), in);
        }
    }
}
