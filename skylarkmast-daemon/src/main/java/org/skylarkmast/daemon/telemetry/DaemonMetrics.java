package org.skylarkmast.daemon.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Unit;
import java.util.Locale;
import java.util.function.DoubleSupplier;

/**
 * The daemon's metrics; thread-safe. Names carry the prefix {@code skylarkmast_} and their unit.
 */
public final class DaemonMetrics {
    private static final String PREFIX = "skylarkmast_";
    private static final double NS_PER_SECOND = 1e9;

    /** Histogram buckets for the latency of calls, in seconds. */
    private static final double[] CALL_BUCKETS_SECONDS = {
        0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120
    };

    /** Histogram buckets for single operations of the key-value service, in seconds. */
    private static final double[] STORE_BUCKETS_SECONDS = {
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5
    };

    private final PrometheusRegistry registry;
    private final Counter calls;
    private final Counter refusals;
    private final Counter retries;
    private final Counter journalRecords;
    private final Counter storeCalls;
    private final Counter prefillTokens;
    private final Histogram callSeconds;
    private final Histogram firstTokenSeconds;
    private final Histogram journalFlushSeconds;

    /**
     * Registers the metrics.
     *
     * @param registry registry that is scraped
     */
    public DaemonMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        this.calls = counter("calls_total", "Calls answered, by outcome.", "outcome");
        this.refusals = counter("refusals_total", "Calls refused before they ran.", "reason");
        this.retries = counter("retries_total", "Calls sent to a target again.");
        this.journalRecords = counter("journal_records_total", "Records committed.");
        this.storeCalls =
                counter("store_calls_total", "Key-value service calls.", "kind", "outcome");
        this.prefillTokens =
                counter("prefill_tokens_total", "Prompt tokens, cached or computed.", "source");
        this.callSeconds =
                histogram("call", "Time from a call's arrival to its end.", CALL_BUCKETS_SECONDS);
        this.firstTokenSeconds =
                histogram(
                        "first_token",
                        "Time from a model call's arrival to its first token.",
                        CALL_BUCKETS_SECONDS);
        this.journalFlushSeconds =
                histogram(
                        "journal_flush",
                        "Time from appending a record to its commit.",
                        STORE_BUCKETS_SECONDS);
    }

    /** Gauges whose values are read at each scrape. */
    public enum Gauge {
        /** Partitions this node owns. */
        PARTITIONS_OWNED,
        /** Revision of the configuration that this node uses. */
        CONFIGURATION_REVISION,
        /** Calls waiting for a runner. */
        QUEUE_LENGTH,
        /** Calls sent to targets and not answered yet. */
        CALLS_UNDER_WAY,
        /** Programs in memory. */
        PROGRAMS_HELD
    }

    /** Registers {@code value} as the source of {@code gauge}; at most once for each gauge. */
    public void registerGauge(Gauge gauge, DoubleSupplier value) {
        String name = gauge.name().toLowerCase(Locale.ROOT);
        GaugeWithCallback.builder()
                .name(PREFIX + name)
                .help(name.replace('_', ' ') + " of this node.")
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Counts a call that ended and records its duration. */
    public void recordCall(String outcome, long durationNs) {
        calls.labelValues(outcome).inc();
        callSeconds.observe(durationNs / NS_PER_SECOND);
    }

    /** Counts a call that was refused before it ran. */
    public void recordRefusal(String reason) {
        refusals.labelValues(reason).inc();
    }

    /** Counts a retry of a call at a target. */
    public void recordRetry() {
        retries.inc();
    }

    /** Records the time to first token of a model call. */
    public void recordFirstToken(long durationNs) {
        firstTokenSeconds.observe(durationNs / NS_PER_SECOND);
    }

    /** Counts the prompt tokens of a model call by whether they were found in the cache. */
    public void recordPrefill(long cachedTokens, long computedTokens) {
        prefillTokens.labelValues("cached").inc(cachedTokens);
        prefillTokens.labelValues("computed").inc(computedTokens);
    }

    /** Records one group commit of the journal and the number of its records. */
    public void recordJournalFlush(int records, long durationNs) {
        journalRecords.inc(records);
        journalFlushSeconds.observe(durationNs / NS_PER_SECOND);
    }

    /** Counts an operation of the key-value service by kind and outcome. */
    public void recordStoreCall(String kind, String outcome) {
        storeCalls.labelValues(kind, outcome).inc();
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder()
                .name(PREFIX + name)
                .help(help)
                .labelNames(labels)
                .register(registry);
    }

    private Histogram histogram(String name, String help, double... bucketsSeconds) {
        return Histogram.builder()
                .name(PREFIX + name + "_seconds")
                .unit(Unit.SECONDS)
                .help(help)
                .classicOnly()
                .classicUpperBounds(bucketsSeconds)
                .register(registry);
    }
}
