package org.skylarkmast.relay.node;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.relay.mirror.StoreMirror;
import org.skylarkmast.relay.route.CallerLimits;
import org.skylarkmast.relay.route.RoutingConfiguration;
import org.skylarkmast.relay.route.RoutingState;

/** Tests that metrics tell a configuration that was dropped from a store that is not followed. */
class MirrorGaugesTest {
    private final PrometheusRegistry registry = new PrometheusRegistry();

    private String metrics() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(out, registry.scrape());
        return out.toString(StandardCharsets.UTF_8);
    }

    private static RoutingConfiguration configuration(long version) {
        return new RoutingConfiguration(version, List.of(), Map.of(), new CallerLimits(1, 1, 1, 1));
    }

    @Test
    void unreadableConfigurationShowsUntilAReadableOneIsOffered() throws IOException {
        RoutingState routing = new RoutingState();
        MirrorGauges.register(registry, routing);
        assertThat(metrics()).contains("skylarkmast_configuration_version 0.0");
        routing.updateIfNewer(configuration(9));
        routing.recordUnreadable(12, 40, new IllegalStateException("failure under test"));
        assertThat(metrics()).contains("skylarkmast_configuration_version 9.0");
        assertThat(metrics()).contains("skylarkmast_configuration_unreadable_version 12.0");
        routing.updateIfNewer(configuration(13));
        assertThat(metrics()).contains("skylarkmast_configuration_version 13.0");
        assertThat(metrics()).contains("skylarkmast_configuration_unreadable_version 0.0");
    }

    @Test
    void mirrorShowsItsRevisionAndTheAgeOfItsProof() throws IOException {
        StoreMirror.Listener listener =
                new StoreMirror.Listener() {
                    @Override
                    public void written(StoreEntry entry) {}

                    @Override
                    public void removed(String key) {}

                    @Override
                    public void loaded() {}
                };
        StoreMirror mirror = new StoreMirror(listener, System::nanoTime);
        double[] ageSeconds = {Double.POSITIVE_INFINITY};
        MirrorGauges.register(registry, mirror, () -> ageSeconds[0]);
        assertThat(metrics()).contains("skylarkmast_store_proof_age_seconds +Inf");
        mirror.removed("k", 7);
        ageSeconds[0] = 2.5;
        assertThat(metrics()).contains("skylarkmast_store_mirror_revision 7.0");
        assertThat(metrics()).contains("skylarkmast_store_proof_age_seconds 2.5");
    }
}
