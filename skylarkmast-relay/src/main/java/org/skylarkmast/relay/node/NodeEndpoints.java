package org.skylarkmast.relay.node;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.HttpServer;

/** Serves a node's metrics and its readiness over HTTP. */
final class NodeEndpoints {
    private static final PrometheusTextFormatWriter WRITER = PrometheusTextFormatWriter.create();

    private NodeEndpoints() {}

    /** Starts the metrics endpoint. */
    static HttpServer start(
            RelaySettings settings, IntakeBounds bounds, PrometheusRegistry registry)
            throws IOException {
        return HttpServer.start(
                settings.ip(),
                settings.metricsPort(),
                0,
                bounds.metrics(),
                call ->
                        call.path().equals("/metrics")
                                ? metrics(registry)
                                : HttpReply.text(404, "see /metrics\n"));
    }

    /** Starts the endpoint of the load balancer's readiness checks. */
    static HttpServer startReadiness(
            RelaySettings settings, IntakeBounds bounds, BooleanSupplier ready) throws IOException {
        String address = settings.readinessAddress();
        int colon = address.lastIndexOf(':');
        return HttpServer.start(
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                0,
                bounds.readiness(),
                call ->
                        ready.getAsBoolean()
                                ? HttpReply.text(200, "ready\n")
                                : HttpReply.text(503, "not ready\n"));
    }

    private static HttpReply metrics(PrometheusRegistry registry) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            WRITER.write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return new HttpReply.Full(
                200, Map.of(), PrometheusTextFormatWriter.CONTENT_TYPE, out.toByteArray());
    }
}
