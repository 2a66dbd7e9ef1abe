package org.skylarkmast.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
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

/** A blocking HTTP/1.1 client that keeps idle connections for reuse; thread-safe. */
public final class HttpClient implements AutoCloseable {

    /**
     * Longest time a kept connection may idle and be used again. Well below the time after which
     * servers close idle connections; longer risks sending into a closed one.
     */
    private static final long MAX_IDLE_NS = 2_000_000_000L;

    private final int maxIdlePerAddress;
    private final int connectTimeoutMs;
    private final HttpRequestExecutor executor = new HttpRequestExecutor();
    private final HttpProcessor processor = processor();
    private final Map<String, Deque<IdleConnection>> idleByAddress = new ConcurrentHashMap<>();

    private record IdleConnection(DefaultBHttpClientConnection connection, long sinceNs) {}

    /**
     * Creates a client.
     *
     * @param maxIdlePerAddress connections kept for reuse to one address
     * @param connectTimeoutMs time to wait for a connection
     */
    public HttpClient(int maxIdlePerAddress, int connectTimeoutMs) {
        this.maxIdlePerAddress = maxIdlePerAddress;
        this.connectTimeoutMs = connectTimeoutMs;
    }

    /** Sends a request and reads the answer whole. */
    public HttpOutcome send(HttpSend request) {
        return exchange(request, null, new AbortSignal());
    }

    /** Sends a request that {@code abort} can cut, and reads the answer whole. */
    public HttpOutcome send(HttpSend request, AbortSignal abort) {
        return exchange(request, null, abort);
    }

    /**
     * Sends a request and passes the lines of a 2xx answer to {@code consumer} as they come; other
     * answers are returned whole.
     *
     * @param abort cuts the exchange from another thread; the outcome is then {@link
     *     HttpOutcome.Broken}
     */
    public HttpOutcome stream(HttpSend request, AbortSignal abort, LineConsumer consumer) {
        return exchange(request, consumer, abort);
    }

    @Override
    public void close() {
        for (Deque<IdleConnection> idle : idleByAddress.values()) {
            for (IdleConnection kept = idle.poll(); kept != null; kept = idle.poll()) {
                kept.connection().close(CloseMode.IMMEDIATE);
            }
        }
    }

    private HttpOutcome exchange(HttpSend request, LineConsumer consumer, AbortSignal abort) {
        HttpHost host;
        DefaultBHttpClientConnection connection;
        try {
            host = HttpHost.create("http://" + request.address());
            connection = connection(request, host);
        } catch (IOException | java.net.URISyntaxException | IllegalArgumentException e) {
            return new HttpOutcome.NotSent(String.valueOf(e.getMessage()));
        }
        boolean reusable = false;
        abort.onAbort(() -> connection.close(CloseMode.IMMEDIATE));
        try {
            connection.setSocketTimeout(Timeout.ofMilliseconds(request.timeoutMs()));
            HttpCoreContext context = HttpCoreContext.create();
            ClassicHttpRequest message = message(request, host);
            executor.preProcess(message, processor, context);
            try (ClassicHttpResponse response = executor.execute(message, connection, context)) {
                executor.postProcess(response, processor, context);
                HttpOutcome outcome = read(response, consumer, connection);
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
                keep(request.address(), connection);
            } else {
                connection.close(CloseMode.IMMEDIATE);
            }
        }
    }

    private DefaultBHttpClientConnection connection(HttpSend request, HttpHost host)
            throws IOException {
        Deque<IdleConnection> idle = idleByAddress.get(request.address());
        while (!request.freshConnection() && idle != null) {
            IdleConnection kept = idle.pollFirst();
            if (kept == null) {
                break;
            }
            if (System.nanoTime() - kept.sinceNs() < MAX_IDLE_NS && kept.connection().isOpen()) {
                return kept.connection();
            }
            kept.connection().close(CloseMode.IMMEDIATE);
        }
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(host.getHostName(), host.getPort()), connectTimeoutMs);
            DefaultBHttpClientConnection connection =
                    new DefaultBHttpClientConnection(Http1Config.DEFAULT);
            connection.bind(socket);
            return connection;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /**
     * HttpCore's usual one without the expectation of an interim answer: bodies are small, and a
     * server that does not know it would hold each call back for seconds.
     */
    private static HttpProcessor processor() {
        return HttpProcessorBuilder.create()
                .addAll(
                        RequestTargetHost.INSTANCE,
                        RequestContent.INSTANCE,
                        RequestConnControl.INSTANCE,
                        new RequestUserAgent("skylarkmast"))
                .build();
    }

    private static ClassicHttpRequest message(HttpSend request, HttpHost host) {
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

    private static HttpOutcome read(
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
                return new HttpOutcome.Answered(response.getCode(), headers, in.readAllBytes());
            }
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (!consumer.onLine(line)) {
                    // Closing the body first would read it to its end, which may never come.
                    connection.close(CloseMode.IMMEDIATE);
                    return new HttpOutcome.Broken("consumer stopped reading");
                }
            }
            return new HttpOutcome.Answered(response.getCode(), headers, new byte[0]);
        }
    }

    private void keep(String address, DefaultBHttpClientConnection connection) {
        Deque<IdleConnection> idle =
                idleByAddress.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
        if (idle.size() >= maxIdlePerAddress) {
            connection.close(CloseMode.GRACEFUL);
            return;
        }
        idle.addFirst(new IdleConnection(connection, System.nanoTime()));
    }
}
