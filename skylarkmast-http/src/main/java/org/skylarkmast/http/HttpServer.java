package org.skylarkmast.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;
import org.apache.hc.core5.http.io.support.BasicHttpServerExpectationDecorator;
import org.apache.hc.core5.http.io.support.BasicHttpServerRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
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

    private static final int BACKLOG = 1024;

    /** Attribute of a request's context that holds its connection. */
    private static final String CONNECTION = "skylarkmast.connection";

    private static final long DRAIN_POLL_INTERVAL_MS = 5;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final int maxBodyBytes;
    private final HttpHandler handler;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final HoldingAccount<ServerConnection> account;
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private final ShedLog shedLog = new ShedLog();
    private final HttpService service;
    private final ServerSocket listener;
    private final ConnectionAcceptor acceptor;

    private HttpServer(
            String host, int port, int maxBodyBytes, IntakeLimits limits, HttpHandler handler)
            throws IOException {
        this.maxBodyBytes = maxBodyBytes;
        this.handler = handler;
        this.account = new HoldingAccount<>(limits);
        HttpRequestHandler handlerForAllPaths = this::serve;
        this.service =
                new HttpService(
                        HttpProcessors.server(),
                        new BasicHttpServerExpectationDecorator(
                                new BasicHttpServerRequestHandler(
                                        (request, context) -> handlerForAllPaths)));
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        try {
            listener.bind(new InetSocketAddress(host, port), BACKLOG);
        } catch (IOException e) {
            listener.close();
            throw e;
        }
        this.acceptor = new ConnectionAcceptor("http-" + port(), false, listener, this::open);
    }

    /** As {@link #start(String, int, int, IntakeLimits, HttpHandler)}, without bounds. */
    public static HttpServer start(String host, int port, int maxBodyBytes, HttpHandler handler)
            throws IOException {
        return start(host, port, maxBodyBytes, IntakeLimits.UNLIMITED, handler);
    }

    /**
     * Starts a server.
     *
     * @param host IP address to listen on
     * @param port port to listen on, or 0 for a free one
     * @param maxBodyBytes requests with a larger body are answered with status 413
     * @param limits bounds on what the server holds for its callers
     * @throws IOException if the address cannot be bound
     */
    public static HttpServer start(
            String host, int port, int maxBodyBytes, IntakeLimits limits, HttpHandler handler)
            throws IOException {
        HttpServer started = new HttpServer(host, port, maxBodyBytes, limits, handler);
        started.acceptor.start();
        return started;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return listener.getLocalPort();
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
        try {
            listener.close();
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("event", "listener_not_closed").setCause(e).log();
        }
        try {
            // Until the thread has left its call, the system still takes connections.
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        connections.forEach(connection -> connection.close(CloseMode.IMMEDIATE));
    }

    private void open(Socket socket) throws IOException {
        socket.setSoTimeout(IDLE_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        ServerConnection connection = new ServerConnection(this::charge);
        connection.bind(socket);
        connections.add(connection);
        closeAll(account.open(connection, System.nanoTime()), "connections");
        if (listener.isClosed()) {
            connection.close(CloseMode.IMMEDIATE);
        }
        Thread.ofVirtual().start(() -> serveConnection(connection));
    }

    private void serveConnection(ServerConnection connection) {
        try {
            while (connection.isOpen()) {
                HttpCoreContext context = HttpCoreContext.create();
                context.setAttribute(CONNECTION, connection);
                service.handleRequest(connection, context);
                account.idle(connection, System.nanoTime());
            }
        } catch (IOException | HttpException e) {
            LOG.atDebug().addKeyValue("event", "caller_gone").addKeyValue("reason", e).log();
        } catch (RuntimeException | OutOfMemoryError e) {
            LOG.atError().addKeyValue("event", "connection_failed").addKeyValue("reason", e).log();
        } finally {
            account.close(connection);
            connections.remove(connection);
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    private void charge(ServerConnection connection, long bytes) throws IOException {
        closeAll(account.charge(connection, bytes, System.nanoTime()), "bytes");
        if (!account.holds(connection)) {
            throw new IntakeExceededException();
        }
    }

    private void closeAll(List<ServerConnection> selected, String exceeded) {
        for (ServerConnection connection : selected) {
            shedLog.record(connection.getRemoteAddress(), exceeded, System.nanoTime());
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    private void serve(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws HttpException, IOException {
        inFlight.incrementAndGet();
        boolean bodyPending = false;
        try {
            HttpReply reply = handle(request, (ServerConnection) context.getAttribute(CONNECTION));
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

    private HttpReply handle(ClassicHttpRequest request, ServerConnection connection)
            throws IOException {
        byte[] body = readBody(request.getEntity(), connection);
        if (body == null) {
            return HttpReply.text(413, "body is larger than " + maxBodyBytes + " bytes\n");
        }
        if (!account.serve(connection, System.nanoTime())) {
            return HttpReply.text(503, "this node holds too much for its callers\n");
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

    private byte[] readBody(HttpEntity entity, ServerConnection connection) throws IOException {
        if (entity == null) {
            return new byte[0];
        }
        try (InputStream in = entity.getContent()) {
            return BodyCollector.collect(
                    in,
                    entity.getContentLength(),
                    maxBodyBytes,
                    bytes -> charge(connection, bytes));
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
}
