package org.skylarkmast.relay.warmup;

import java.io.IOException;
import java.util.List;
import org.skylarkmast.http.HttpHandler;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.relay.forward.WireDialect;
import org.skylarkmast.relay.http.RunnerAnswer;
import org.skylarkmast.relay.http.RunnerConnection;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.node.EntryNode;
import org.skylarkmast.relay.node.RelaySettings;

/**
 * A second entry node in this process, on loopback addresses, with runners and a storage node of
 * its own. It shares code with the real node but no state: its routes, statistics, metrics,
 * quarantine and connections end with it.
 */
final class WarmUpNode implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String ANY_PORT = LOOPBACK + ":0";
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final long GRACE_MS = 1000;

    private final HttpServer endpoints;
    private final EntryNode node;
    private RunnerConnection connection;

    /**
     * Opens the node; requests of turns wait until it has reached its storage node.
     *
     * @throws IOException if a loopback address cannot be bound
     */
    WarmUpNode(WarmUpTraffic traffic, WireDialect dialect) throws IOException {
        HttpHandler ledger = new WarmUpLedger();
        HttpHandler runners = traffic.runnerHandler();
        endpoints =
                HttpServer.start(
                        LOOPBACK,
                        0,
                        MAX_BODY_BYTES,
                        call ->
                                call.path().startsWith(WarmUpLedger.PREFIX)
                                        ? ledger.handle(call)
                                        : runners.handle(call));
        try {
            node = new EntryNode(settings(), dialect);
        } catch (IOException | RuntimeException e) {
            endpoints.close();
            throw e;
        }
        String address = LOOPBACK + ":" + endpoints.port();
        node.routing().updateIfNewer(traffic.configuration());
        traffic.runners(address).forEach(node.directory()::put);
        node.views().offer(new LedgerView(1, List.of(new LedgerView.Member("warm-up", address))));
        node.startAccepting();
    }

    private static RelaySettings settings() {
        return new RelaySettings(
                "warm-up", "warm-up", LOOPBACK, 0, 0, ANY_PORT, ANY_PORT, null, false, 0, GRACE_MS);
    }

    /** Sends a request as a caller and reads its answer to the end; whatever it is will do. */
    void send(WarmUpTraffic.Request request) throws IOException {
        if (connection == null) {
            connection =
                    RunnerConnection.open(LOOPBACK + ":" + node.callersPort(), CONNECT_TIMEOUT_MS);
        }
        connection.send(request.method(), request.target(), request.fields(), request.body());
        RunnerAnswer answer = connection.readHead(request.method());
        connection.body(answer).readAllBytes();
        if (!answer.persistent()) {
            disconnect();
        }
    }

    /** Ends the caller's connection; the next request opens another. */
    void disconnect() {
        if (connection != null) {
            connection.abort();
            connection = null;
        }
    }

    @Override
    public void close() {
        disconnect();
        node.close();
        endpoints.close();
    }
}
