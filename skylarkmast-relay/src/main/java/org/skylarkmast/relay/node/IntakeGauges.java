package org.skylarkmast.relay.node;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** The metrics of what an entry node holds for those that connect to it. */
final class IntakeGauges {
    private static final String CALLERS = "callers";
    private static final String PEERS = "peers";

    private IntakeGauges() {}

    static void register(
            PrometheusRegistry registry, CallerServer callerServer, CallerServer peerServer) {
        GaugeWithCallback.builder()
                .name("skylarkmast_intake_held_bytes")
                .help("Bytes held for requests that are received or served.")
                .labelNames("port")
                .callback(
                        callback -> {
                            callback.call((double) callerServer.account().heldBytes(), CALLERS);
                            callback.call((double) peerServer.account().heldBytes(), PEERS);
                        })
                .register(registry);
        CounterWithCallback.builder()
                .name("skylarkmast_intake_closed_connections_total")
                .help("Connections closed because too much was held, and requests refused.")
                .labelNames("port", "exceeded")
                .callback(
                        callback -> {
                            report(callback, callerServer, CALLERS);
                            report(callback, peerServer, PEERS);
                        })
                .register(registry);
    }

    private static void report(
            CounterWithCallback.Callback callback, CallerServer server, String port) {
        callback.call((double) server.account().closedForBytes(), port, "bytes");
        callback.call((double) server.account().closedForConnections(), port, "connections");
        callback.call((double) server.account().refused(), port, "serving_bytes");
        callback.call((double) server.unreadAnswers(), port, "write_time");
    }
}
