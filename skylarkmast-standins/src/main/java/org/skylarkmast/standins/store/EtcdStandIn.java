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
 * The key-value service as one process: etcd's gRPC API on one port, faults and counts on another.
 */
public final class EtcdStandIn implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    /** Largest request, as etcd's default with room for its framing. */
    private static final int MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

    private static final int MAX_CONTROL_BODY_BYTES = 65_536;

    /** Pause between looks for expired leases; a longer one makes expiry late by as much. */
    private static final long EXPIRY_INTERVAL_MS = 50;

    private static final long MIN_KEEP_ALIVE_MS = 1_000;

    private final StoreState state;
    private final CallGate gate;
    private final WatchService watches;
    private final ExecutorService executor;
    private final ScheduledExecutorService expiry;
    private final Server server;
    private final HttpServer control;

    private EtcdStandIn(int port, int controlPort) throws IOException {
        this.state = new StoreState(System::nanoTime);
        this.gate = new CallGate(System::nanoTime);
        this.watches = new WatchService(state, gate);
        this.executor = Executors.newVirtualThreadPerTaskExecutor();
        this.expiry = Executors.newSingleThreadScheduledExecutor();
        UnaryCall calls = new UnaryCall(gate);
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
        this.control = HttpServer.start(HOST, controlPort, MAX_CONTROL_BODY_BYTES, this::control);
    }

    /**
     * Starts a stand-in.
     *
     * @param port port of the gRPC API, or 0 for a free one
     * @param controlPort port of faults and counts, or 0 for a free one
     * @throws IOException if a port cannot be bound
     */
    public static EtcdStandIn start(int port, int controlPort) throws IOException {
        EtcdStandIn standIn = new EtcdStandIn(port, controlPort);
        standIn.server.start();
        ScheduledFuture<?> _ =
                standIn.expiry.scheduleAtFixedRate(
                        standIn.state::expireDue,
                        EXPIRY_INTERVAL_MS,
                        EXPIRY_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
        return standIn;
    }

    /** The port of the gRPC API. */
    public int port() {
        return server.getPort();
    }

    /** The port of faults and counts. */
    public int controlPort() {
        return control.port();
    }

    /** What it holds. */
    public StoreState state() {
        return state;
    }

    /** Puts faults in force in place of the earlier ones. */
    public void setFaults(StoreFaults faults) {
        gate.setFaults(faults);
        if (faults.expireLeases()) {
            state.expireAll();
        }
        if (faults.dropWatches() && faults.skipEvents() > 0) {
            watches.refuseUntilCompacted(faults.skipEvents());
        }
        if (faults.down() || faults.dropWatches()) {
            watches.breakAll();
        }
    }

    /** Calls so far by kind, and watches waiting now. */
    public Map<String, Long> counts() {
        Map<String, Long> counts = new LinkedHashMap<>(gate.counts());
        counts.put("watches_waiting", (long) watches.waiting());
        return counts;
    }

    @Override
    public void close() {
        control.close();
        server.shutdownNow();
        expiry.shutdownNow();
        executor.shutdownNow();
    }

    private HttpReply control(ServerRequest call) {
        return switch (call.method() + " " + call.path()) {
            case "POST /faults" ->
                    StandInJson.read(call.body(), StoreFaults.class)
                            .map(
                                    faults -> {
                                        setFaults(faults);
                                        return HttpReply.json(200, "{}");
                                    })
                            .orElseGet(() -> HttpReply.text(400, "malformed faults\n"));
            case "GET /faults" -> HttpReply.json(200, StandInJson.write(gate.faults()));
            case "GET /counts" -> HttpReply.json(200, StandInJson.write(counts()));
            default -> HttpReply.text(404, "no such control\n");
        };
    }
}
