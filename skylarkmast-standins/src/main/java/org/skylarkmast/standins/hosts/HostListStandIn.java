package org.skylarkmast.standins.hosts;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.http.ServerRequest;
import org.skylarkmast.standins.StandInJson;

/** The host list as one process; it shows what was last put, unless frozen. Thread-safe. */
public final class HostListStandIn implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final HttpServer server;

    private Hosts set = new Hosts(0, List.of());
    private Hosts shown = set;
    private Faults faults = new Faults(false);

    /** The list at a revision. */
    private record Hosts(long revision, List<Host> hosts) {}

    private record Host(String address, String failureDomain, State state) {}

    private enum State {
        LIVE,
        LEAVING
    }

    /** Faults of the host list; {@code freeze} stops what is shown from changing. */
    private record Faults(boolean freeze) {}

    private HostListStandIn(int port) throws IOException {
        this.server = HttpServer.start(HOST, port, MAX_BODY_BYTES, this::handle);
    }

    /**
     * Starts an empty list.
     *
     * @param port port to listen on, or 0 for a free one
     * @throws IOException if the port cannot be bound
     */
    public static HostListStandIn start(int port) throws IOException {
        return new HostListStandIn(port);
    }

    /** The port it listens on. */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized HttpReply handle(ServerRequest call) {
        return switch (call.method() + " " + call.path()) {
            case "GET /hosts" -> HttpReply.json(200, StandInJson.write(shown));
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
        set = new Hosts(set.revision() + 1, List.copyOf(hosts.get().hosts()));
        show();
        return HttpReply.json(200, StandInJson.write(set));
    }

    private HttpReply setFaults(ServerRequest call) {
        Optional<Faults> read = StandInJson.read(call.body(), Faults.class);
        if (read.isEmpty()) {
            return HttpReply.text(400, "malformed faults\n");
        }
        faults = read.get();
        show();
        return HttpReply.json(200, "{}");
    }

    private void show() {
        if (!faults.freeze()) {
            shown = set;
        }
    }
}
