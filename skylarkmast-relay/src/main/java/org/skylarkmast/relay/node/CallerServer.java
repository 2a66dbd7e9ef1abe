package org.skylarkmast.relay.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.skylarkmast.http.ConnectionAcceptor;
import org.skylarkmast.http.HoldingAccount;
import org.skylarkmast.http.IntakeExceededException;
import org.skylarkmast.http.IntakeLimits;
import org.skylarkmast.http.ShedLog;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.Framing;
import org.skylarkmast.relay.http.HeadTooLargeException;
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

    /** Memory of a request besides its fields and its body. */
    private static final long REQUEST_BYTES = 2048;

    private static final long WRITE_CHECK_MS = 500;

    /** Time in a write from which on a connection may be closed to make room for another one. */
    private static final long STALLED_WRITE_NS = TimeUnit.SECONDS.toNanos(1);

    private static final String HOLDS_TOO_MUCH = "this node holds too much for its callers";

    private final ServerSocket listener;
    private final RequestServer requests;
    private final Supplier<CallerLimits> limits;
    private final ScheduledExecutorService timers;
    private final Set<OpenConnection> openConnections = ConcurrentHashMap.newKeySet();
    private final ConnectionAcceptor acceptor;
    private final HoldingAccount<OpenConnection> account;
    private final ShedLog shedLog = new ShedLog();
    private final LongAdder unreadAnswers = new LongAdder();
    private volatile boolean draining;
    private volatile boolean keepsIdle = true;

    /** An open connection and whether a request on it is in progress. */
    private final class OpenConnection {
        private final ConnectionActivity activity = new ConnectionActivity();
        private final CallerConnection connection;

        /** Whether the account selected the connection to be closed. */
        private volatile boolean selected;

        private boolean markedStalled;

        OpenConnection(Socket socket) throws IOException {
            connection =
                    new CallerConnection(
                            socket,
                            () -> limits.get().maxHeadBytes(),
                            bytes -> charge(this, bytes));
        }
    }

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

    /** As the other constructor, without bounds on what is held. */
    public CallerServer(
            ServerSocket listener,
            RequestServer requests,
            Supplier<CallerLimits> limits,
            ScheduledExecutorService timers) {
        this(listener, requests, limits, IntakeLimits.UNLIMITED, timers);
    }

    /**
     * @param listener accepts connections once {@link #start} is called; closed by {@link #close}
     * @param limits returns the limits in force
     * @param intakeLimits bounds on what the server holds for all callers
     */
    public CallerServer(
            ServerSocket listener,
            RequestServer requests,
            Supplier<CallerLimits> limits,
            IntakeLimits intakeLimits,
            ScheduledExecutorService timers) {
        this.listener = listener;
        this.requests = requests;
        this.limits = limits;
        this.timers = timers;
        this.account = new HoldingAccount<>(intakeLimits);
        this.acceptor = new ConnectionAcceptor("accept", true, listener, this::open);
    }

    /** Starts accepting connections; the server accepts none if it has been closed. */
    public void start() {
        acceptor.start();
        var _ =
                timers.scheduleWithFixedDelay(
                        this::checkWrites, WRITE_CHECK_MS, WRITE_CHECK_MS, TimeUnit.MILLISECONDS);
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

    private void open(Socket socket) throws IOException {
        OpenConnection open = new OpenConnection(socket);
        openConnections.add(open);
        closeAll(account.open(open, System.nanoTime()), "connections", null);
        Thread.ofVirtual().start(() -> serve(socket, open));
    }

    private void charge(OpenConnection open, long bytes) throws IntakeExceededException {
        closeAll(account.charge(open, bytes, System.nanoTime()), "bytes", open);
        if (open.selected) {
            throw new IntakeExceededException();
        }
    }

    /**
     * Closes connections that the account has selected. One that receives a request ends its input,
     * so that the thread that reads it answers that the request was not run.
     *
     * @param current connection that the calling thread serves, or null
     */
    private void closeAll(List<OpenConnection> all, String exceeded, OpenConnection current) {
        long nowNs = System.nanoTime();
        for (OpenConnection open : all) {
            open.selected = true;
            shedLog.record(open.connection.remoteAddress(), exceeded, nowNs);
            if (open.activity.closeIfIdle()) {
                open.connection.close();
            } else if (open.connection.blockedWriteNs(nowNs) > 0) {
                open.connection.abort();
            } else if (open != current) {
                open.connection.endInput();
            }
        }
    }

    /** Aborts connections whose callers do not read; marks those that have not read for a while. */
    private void checkWrites() {
        try {
            long nowNs = System.nanoTime();
            long maxWriteNs = TimeUnit.MILLISECONDS.toNanos(limits.get().idleTimeoutMs());
            for (OpenConnection open : openConnections) {
                long blockedNs = open.connection.blockedWriteNs(nowNs);
                boolean stalled = blockedNs > STALLED_WRITE_NS;
                if (stalled != open.markedStalled) {
                    open.markedStalled = stalled;
                    account.markStalled(open, stalled);
                }
                if (blockedNs > maxWriteNs) {
                    unreadAnswers.increment();
                    shedLog.record(open.connection.remoteAddress(), "write_time", nowNs);
                    open.connection.abort();
                }
            }
        } catch (RuntimeException | OutOfMemoryError e) {
            // An exception would end the periodic task.
            LOG.atError().addKeyValue("event", "write_check_failed").addKeyValue("reason", e).log();
        }
    }

    /** Returns the account of what is held for the callers of this server. */
    HoldingAccount<?> account() {
        return account;
    }

    /** Returns how many connections were aborted because their callers did not read an answer. */
    long unreadAnswers() {
        return unreadAnswers.sum();
    }

    private void serve(Socket socket, OpenConnection open) {
        try (socket) {
            socket.setTcpNoDelay(true);
            boolean reusable = true;
            while (reusable && awaitRequest(socket, open)) {
                reusable = serveRequest(socket, open);
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
        } catch (OutOfMemoryError e) {
            // What the connection holds is released; the process and other connections continue.
            open.connection.abort();
            LOG.atError().addKeyValue("event", "request_failed").addKeyValue("reason", e).log();
        } finally {
            openConnections.remove(open);
            account.close(open);
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
            account.idle(open, System.nanoTime());
            return open.connection.awaitRequest();
        }
        account.idle(open, System.nanoTime());
        open.activity.endRequest();
        if (open.selected && open.activity.closeIfIdle()) {
            return false;
        }
        if (!keepsIdle && open.activity.closeIfIdle()) {
            return false;
        }
        return open.connection.awaitRequest() && open.activity.beginRequest();
    }

    private boolean serveRequest(Socket socket, OpenConnection open)
            throws IOException, InterruptedException {
        CallerConnection connection = open.connection;
        CallerLimits inForce = limits.get();
        ScheduledFuture<?> headTimeout =
                timers.schedule(connection::close, inForce.headTimeoutMs(), TimeUnit.MILLISECONDS);
        InboundRequest request;
        byte[] body;
        try {
            try {
                charge(open, REQUEST_BYTES);
                request = connection.readHead();
            } finally {
                headTimeout.cancel(false);
            }
            if (!(request.framing() instanceof Framing.Empty)) {
                Optional<RequestServer.HeadRefusal> refusal = requests.refusalBeforeBody(request);
                if (refusal.isPresent()) {
                    return EarlyRefusals.refuseBeforeBody(
                            connection,
                            request,
                            refusal.get(),
                            inForce.maxBodyBytes(),
                            () -> draining || !request.persistent());
                }
            }
            body = connection.readBody(request, inForce.maxBodyBytes());
        } catch (MalformedMessageException e) {
            return EarlyRefusals.refuse(connection, 400, e.getMessage());
        } catch (HeadTooLargeException e) {
            return EarlyRefusals.refuse(
                    connection, inForce.provisional() ? 503 : 431, e.getMessage());
        } catch (IOException e) {
            if (open.selected) {
                return EarlyRefusals.refuse(connection, 503, HOLDS_TOO_MUCH);
            }
            throw e;
        }
        if (body == null) {
            return EarlyRefusals.refuse(
                    connection, inForce.provisional() ? 503 : 413, "body is too long");
        }
        if (!account.serve(open, System.nanoTime())) {
            return EarlyRefusals.refuse(connection, 503, HOLDS_TOO_MUCH);
        }
        socket.setSoTimeout(0);
        boolean reusable =
                requests.serve(connection, request, body, () -> draining || !request.persistent());
        if (!reusable) {
            connection.close();
        }
        return reusable;
    }
}
