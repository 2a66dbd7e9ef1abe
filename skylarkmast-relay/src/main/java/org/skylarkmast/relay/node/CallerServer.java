package org.skylarkmast.relay.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.HeadTooLargeException;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.http.InboundRequest;
import org.skylarkmast.relay.http.MalformedMessageException;
import org.skylarkmast.relay.http.MessageTruncatedException;
import org.skylarkmast.relay.route.CallerLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections from callers, or from other entry nodes, and serves each on its own virtual
 * thread.
 */
public final class CallerServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(CallerServer.class);

    private static final int BACKLOG = 1024;
    private static final int LINGER_MS = 500;

    /** Retry-After of a request that a configuration still to come may allow, in seconds. */
    private static final String NO_CONFIGURATION_RETRY_AFTER_S = "1";

    private final ServerSocket listener;
    private final RequestServer requests;
    private final Supplier<CallerLimits> limits;
    private final ScheduledExecutorService timers;
    private final Set<OpenConnection> openConnections = ConcurrentHashMap.newKeySet();
    private final Thread acceptor;
    private volatile boolean draining;
    private volatile boolean keepsIdle = true;

    /** An open connection and whether a request on it is in progress. */
    private record OpenConnection(CallerConnection connection, ConnectionActivity activity) {}

    /**
     * Binds {@code address}; the operating system queues connections until a server accepts them.
     *
     * @param address {@code host:port}
     * @throws IOException if the address cannot be bound
     */
    public static ServerSocket bind(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(
                new InetSocketAddress(
                        InetAddress.getByName(address.substring(0, colon)),
                        Integer.parseInt(address.substring(colon + 1))),
                BACKLOG);
        return listener;
    }

    /**
     * @param listener accepts connections once {@link #start} is called; closed by {@link #close}
     * @param limits returns the limits in force
     */
    public CallerServer(
            ServerSocket listener,
            RequestServer requests,
            Supplier<CallerLimits> limits,
            ScheduledExecutorService timers) {
        this.listener = listener;
        this.requests = requests;
        this.limits = limits;
        this.timers = timers;
        this.acceptor = Thread.ofPlatform().name("accept").daemon().unstarted(this::accept);
    }

    /** Starts accepting connections; the server accepts none if it has been closed. */
    public void start() {
        acceptor.start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return listener.getLocalPort();
    }

    /**
     * Makes each connection close after the response in progress or, if idle, after the next one.
     */
    public void drain() {
        draining = true;
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return openConnections.size();
    }

    /**
     * Closes the connections that have no request in progress; none begins on them any more. Each
     * other connection closes as soon as it has none.
     */
    public void closeIdle() {
        keepsIdle = false;
        for (OpenConnection open : openConnections) {
            if (open.activity.closeIfIdle()) {
                open.connection.close();
            }
        }
    }

    /** Cuts all open connections, also those with a request in progress. */
    public void abortConnections() {
        for (OpenConnection open : openConnections) {
            open.connection.abort();
        }
    }

    /** Stops accepting connections; those accepted before count as open once this returns. */
    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("event", "listener_not_closed").setCause(e).log();
        }
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                open(listener.accept());
            } catch (IOException e) {
                if (!listener.isClosed()) {
                    LOG.atWarn().addKeyValue("event", "accept_failed").setCause(e).log();
                }
            }
        }
    }

    private void open(Socket socket) throws IOException {
        OpenConnection open =
                new OpenConnection(
                        new CallerConnection(socket, () -> limits.get().maxHeadBytes()),
                        new ConnectionActivity());
        openConnections.add(open);
        Thread.ofVirtual().start(() -> serve(socket, open));
    }

    private void serve(Socket socket, OpenConnection open) {
        try (socket) {
            socket.setTcpNoDelay(true);
            boolean reusable = true;
            while (reusable && awaitRequest(socket, open)) {
                reusable = serveRequest(socket, open.connection);
            }
        } catch (SocketTimeoutException e) {
            LOG.atDebug().addKeyValue("event", "caller_idle").log();
        } catch (MessageTruncatedException e) {
            LOG.atInfo()
                    .addKeyValue("event", "request_truncated")
                    .addKeyValue("reason", e.getMessage())
                    .log();
        } catch (IOException e) {
            LOG.atDebug().addKeyValue("event", "caller_gone").addKeyValue("reason", e).log();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOG.atError().addKeyValue("event", "request_failed").setCause(e).log();
            open.connection.abort();
        } finally {
            openConnections.remove(open);
        }
    }

    /**
     * Waits for the next request.
     *
     * @return false if there is none, because the caller or this server closes the connection
     */
    private boolean awaitRequest(Socket socket, OpenConnection open) throws IOException {
        socket.setSoTimeout((int) limits.get().idleTimeoutMs());
        // A request that was read while the last one was served is in progress already.
        if (open.connection.hasInput()) {
            return open.connection.awaitRequest();
        }
        open.activity.endRequest();
        if (!keepsIdle && open.activity.closeIfIdle()) {
            return false;
        }
        return open.connection.awaitRequest() && open.activity.beginRequest();
    }

    private boolean serveRequest(Socket socket, CallerConnection connection)
            throws IOException, InterruptedException {
        CallerLimits inForce = limits.get();
        ScheduledFuture<?> headTimeout =
                timers.schedule(connection::close, inForce.headTimeoutMs(), TimeUnit.MILLISECONDS);
        InboundRequest request;
        byte[] body;
        try {
            try {
                request = connection.readHead();
            } finally {
                headTimeout.cancel(false);
            }
            body = connection.readBody(request, inForce.maxBodyBytes());
        } catch (MalformedMessageException e) {
            return refuse(connection, 400, e.getMessage());
        } catch (HeadTooLargeException e) {
            return refuse(connection, inForce.provisional() ? 503 : 431, e.getMessage());
        }
        if (body == null) {
            return refuse(connection, inForce.provisional() ? 503 : 413, "body is too long");
        }
        socket.setSoTimeout(0);
        boolean reusable =
                requests.serve(connection, request, body, () -> draining || !request.persistent());
        if (!reusable) {
            connection.close();
        }
        return reusable;
    }

    private static boolean refuse(CallerConnection connection, int status, String reason)
            throws IOException {
        LOG.atInfo()
                .addKeyValue("event", "request_refused")
                .addKeyValue("status", status)
                .addKeyValue("reason", reason)
                .log();
        HeaderFields fields = HeaderFields.NONE.with("Content-Type", "text/plain");
        connection.writeAnswer(
                status,
                status == 503 ? fields.with("Retry-After", NO_CONFIGURATION_RETRY_AFTER_S) : fields,
                (reason + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8),
                true);
        connection.closeAfterAnswer(LINGER_MS);
        return false;
    }
}
