package org.skylarkmast.relay.node;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import org.skylarkmast.relay.mirror.StoreMirror;
import org.skylarkmast.relay.route.RoutingState;

/** The gauges of a node's mirror of the key-value service, and of the configuration from it. */
final class MirrorGauges {
    private MirrorGauges() {}

    /**
     * Registers the gauges of {@code mirror}.
     *
     * @param proofAgeSeconds time since the last proof that the mirror is up to date
     */
    static void register(
            PrometheusRegistry registry, StoreMirror mirror, DoubleSupplier proofAgeSeconds) {
        gauge(
                registry,
                "skylarkmast_store_mirror_revision",
                "Revision of the key-value service up to which this node knows all changes.",
                mirror::revision);
        gauge(
                registry,
                "skylarkmast_store_proof_age_seconds",
                "Time since the last proof that this node knows all changes.",
                proofAgeSeconds);
    }

    /** Registers the gauges of the configuration. */
    static void register(PrometheusRegistry registry, RoutingState routing) {
        gauge(
                registry,
                "skylarkmast_configuration_version",
                "Version of the configuration in force.",
                routing::version);
        gauge(
                registry,
                "skylarkmast_configuration_unreadable_version",
                "Version of the newest configuration if it could not be read, -1 if not even that"
                        + " could, 0 if none.",
                routing::unreadableVersion);
    }

    private static void gauge(
            PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }
}
