package org.skylarkmast.standins.hosts;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.http.ServerRequest;
import org.skylarkmast.standins.StandInJson;

/**
 * Stand-in for the host list of the platform. It serves the list that was last put, or an older one
 * while it is frozen. Thread-safe.
 */
public final class HostListStandIn implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final HttpServer server;

    private Hosts latest = new Hosts(0, List.of());
    private Hosts served = latest;
    private Faults faults = new Faults(false);

    /** The host list at a revision. */
    private record Hosts(long revision, List<Host> hosts) {}

    private record Host(String address, String failureDomain, State state) {}

    private enum State {
        LIVE,
        LEAVING
    }

    /**
     * Injected faults; with {@code freeze} the served list no longer follows the one that is put.
     */
    private record Faults(boolean freeze) {}

    private HostListStandIn(int port) throws IOException {
        this.server = HttpServer.start(HOST, port, MAX_BODY_BYTES, this::handle);
    }

    /**
     * Starts with an empty list.
     *
     * @param port port to listen on, or 0 for a free one
     * @throws IOException if the port cannot be bound
     */
    public static HostListStandIn start(int port) throws IOException {
        return new HostListStandIn(port);
    }

    /** Returns the port it listens on. */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized HttpReply handle(ServerRequest call) {
        return switch (call.method() + " " + call.path()) {
            case "GET /hosts" -> HttpReply.json(200, StandInJson.write(served));
            case "PUT /hosts" -> put(call);
            case "GET /faults" -> HttpReply.json(200, StandInJson.write(faults));
            case "POST /faults" -> setFaults(call);
            default -> HttpReply.json(404, "{}");
        };
    }

    private HttpReply put(ServerRequest call) {
        Optional<Hosts> hosts = StandInJson.read(call.body(), Hosts.class);
        if (hosts.isEmpty() || hosts.get().hosts() == null) {
            return HttpReply.text(400, "malformed hosts\n");
        }
        latest = new Hosts(latest.revision() + 1, List.copyOf(hosts.get().hosts()));
        updateServed();
        return HttpReply.json(200, StandInJson.write(latest));
    }

    private HttpReply setFaults(ServerRequest call) {
        Optional<Faults> parsed = StandInJson.read(call.body(), Faults.class);
        if (parsed.isEmpty()) {
            return HttpReply.text(400, "malformed faults\n");
        }
        faults = parsed.get();
        updateServed();
        return HttpReply.json(200, "{}");
    }

    private void updateServed() {
        if (!faults.freeze()) {
            served = latest;
        }
    }
}
