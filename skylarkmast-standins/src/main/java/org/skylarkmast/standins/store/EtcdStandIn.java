package org.skylarkmast.standins.store;

import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.http.ServerRequest;
import org.skylarkmast.standins.StandInJson;

/**
 * Stand-in for the key-value service: the gRPC API of etcd on one port, and an HTTP API for faults
 * and call counts on another.
 */
public final class EtcdStandIn implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    /** Maximum request size: the default limit of etcd plus overhead for framing. */
    private static final int MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

    private static final int MAX_CONTROL_BODY_BYTES = 65_536;

    /** Interval of the check for expired leases; a lease can expire late by up to this time. */
    private static final long EXPIRY_INTERVAL_MS = 50;

    private static final long MIN_KEEP_ALIVE_MS = 1_000;

    private final StoreState state;
    private final FaultInjector faultInjector;
    private final WatchService watches;
    private final ExecutorService executor;
    private final ScheduledExecutorService expiryTimer;
    private final Server server;
    private final HttpServer controlServer;

    private EtcdStandIn(int port, int controlPort) throws IOException {
        this.state = new StoreState(System::nanoTime);
        this.faultInjector = new FaultInjector(System::nanoTime);
        this.watches = new WatchService(state, faultInjector);
        this.executor = Executors.newVirtualThreadPerTaskExecutor();
        this.expiryTimer = Executors.newSingleThreadScheduledExecutor();
        UnaryCallHandler calls = new UnaryCallHandler(faultInjector);
        this.server =
                NettyServerBuilder.forAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                        .executor(executor)
                        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                        .permitKeepAliveTime(MIN_KEEP_ALIVE_MS, TimeUnit.MILLISECONDS)
                        .permitKeepAliveWithoutCalls(true)
                        .addService(new KvService(state, calls))
                        .addService(new LeaseService(state, calls))
                        .addService(watches)
                        .build();
        this.controlServer =
                HttpServer.start(
                        HOST, controlPort, MAX_CONTROL_BODY_BYTES, this::handleControlCall);
    }

    /**
     * Starts a stand-in.
     *
     * @param port port of the gRPC API, or 0 for a free one
     * @param controlPort port of the API for faults and call counts, or 0 for a free one
     * @throws IOException if a port cannot be bound
     */
    public static EtcdStandIn start(int port, int controlPort) throws IOException {
        EtcdStandIn standIn = new EtcdStandIn(port, controlPort);
        standIn.server.start();
        ScheduledFuture<?> _ =
                standIn.expiryTimer.scheduleAtFixedRate(
                        standIn.state::endExpiredLeases,
                        EXPIRY_INTERVAL_MS,
                        EXPIRY_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
        return standIn;
    }

    /** Returns the port of the gRPC API. */
    public int port() {
        return server.getPort();
    }

    /** Returns the port of the API for faults and call counts. */
    public int controlPort() {
        return controlServer.port();
    }

    /** Returns the state of the store. */
    public StoreState state() {
        return state;
    }

    /** Replaces the active faults by {@code faults}. */
    public void setFaults(StoreFaults faults) {
        faultInjector.setFaults(faults);
        if (faults.expireLeases()) {
            state.endAllLeases();
        }
        if (faults.dropWatches() && faults.skipEvents() > 0) {
            watches.rejectUntilCompacted(faults.skipEvents());
        }
        if (faults.down() || faults.dropWatches()) {
            watches.failAllStreams();
        }
    }

    /** Returns the number of calls so far by kind, and the number of active watches. */
    public Map<String, Long> counts() {
        Map<String, Long> counts = new LinkedHashMap<>(faultInjector.counts());
        counts.put("watches_waiting", (long) watches.activeWatchCount());
        return counts;
    }

    @Override
    public void close() {
        controlServer.close();
        server.shutdownNow();
        expiryTimer.shutdownNow();
        executor.shutdownNow();
    }

    private HttpReply handleControlCall(ServerRequest call) {
        return switch (call.method() + " " + call.path()) {
            case "POST /faults" ->
                    StandInJson.read(call.body(), StoreFaults.class)
                            .map(
                                    faults -> {
                                        setFaults(faults);
                                        return HttpReply.json(200, "{}");
                                    })
                            .orElseGet(() -> HttpReply.text(400, "malformed faults\n"));
            case "GET /faults" -> HttpReply.json(200, StandInJson.write(faultInjector.faults()));
            case "GET /counts" -> HttpReply.json(200, StandInJson.write(counts()));
            default -> HttpReply.text(404, "no such control\n");
        };
    }
}
