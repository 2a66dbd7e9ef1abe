package org.skylarkmast.daemon.telemetry;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class DaemonMetricsTest {

    @Test
    void exposesRecordedValues() throws IOException {
        PrometheusRegistry registry = new PrometheusRegistry();
        DaemonMetrics metrics = new DaemonMetrics(registry);
        metrics.recordCall("answered", 40_000_000);
        metrics.recordRefusal("overloaded");
        metrics.recordRetry();
        metrics.recordFirstToken(20_000_000);
        metrics.recordPrefill(30, 12);
        metrics.recordJournalFlush(7, 3_000_000);
        metrics.recordStoreCall("commit", "done");
        for (DaemonMetrics.Gauge gauge : DaemonMetrics.Gauge.values()) {
            metrics.registerGauge(gauge, gauge::ordinal);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create()
                .write(out, registry.scrape(), EscapingScheme.UNDERSCORE_ESCAPING);
        assertThat(out.toString(StandardCharsets.UTF_8).lines().toList())
                .containsAtLeast(
                        "skylarkmast_calls_total{outcome=\"answered\"} 1.0",
                        "skylarkmast_call_seconds_bucket{le=\"0.025\"} 0",
                        "skylarkmast_call_seconds_bucket{le=\"0.05\"} 1",
                        "skylarkmast_refusals_total{reason=\"overloaded\"} 1.0",
                        "skylarkmast_retries_total 1.0",
                        "skylarkmast_first_token_seconds_count 1",
                        "skylarkmast_prefill_tokens_total{source=\"cached\"} 30.0",
                        "skylarkmast_prefill_tokens_total{source=\"computed\"} 12.0",
                        "skylarkmast_journal_records_total 7.0",
                        "skylarkmast_journal_flush_seconds_count 1",
                        "skylarkmast_store_calls_total{kind=\"commit\",outcome=\"done\"} 1.0",
                        "skylarkmast_programs_held 4.0");
    }
}
