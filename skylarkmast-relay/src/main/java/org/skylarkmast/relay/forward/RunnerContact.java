package org.skylarkmast.relay.forward;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.runner.Runner;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs and counts this node's contact with runners; thread-safe. */
public final class RunnerContact {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerContact.class);
    private static final double MS_PER_S = 1e3;

    private final LongSupplier clockNs;
    private final Counter connects;
    private volatile long lastSignOfLifeNs;

    /**
     * @param clockNs monotonic clock, in ns
     */
    public RunnerContact(LongSupplier clockNs, PrometheusRegistry registry) {
        this.clockNs = clockNs;
        lastSignOfLifeNs = clockNs.getAsLong();
        connects =
                Counter.builder()
                        .name("skylarkmast_runner_connects_total")
                        .help("Attempts to get a connection to a runner, by outcome.")
                        .labelNames("outcome")
                        .register(registry);
        GaugeWithCallback.builder()
                .name("skylarkmast_runner_silence_seconds")
                .help("Time since any runner accepted a connection or answered.")
                .callback(callback -> callback.call(silenceMs() / MS_PER_S))
                .register(registry);
    }

    /** Records a connection; one that is reused is no sign of life. */
    void recordConnected(boolean reused) {
        connects.labelValues(reused ? "reused" : "opened").inc();
        if (!reused) {
            recordAnswer();
        }
    }

    /** Records that a runner could not be connected to. */
    void recordConnectFailure(Runner runner, Exception cause, long tookNs) {
        String outcome =
                switch (cause) {
                    case SocketTimeoutException timeout -> "timed_out";
                    case ConnectException refused -> "refused";
                    default -> "failed";
                };
        connects.labelValues(outcome).inc();
        LOG.atInfo()
                .addKeyValue("event", "runner_connect_failed")
                .addKeyValue("runner", runner.id())
                .addKeyValue("outcome", outcome)
                .addKeyValue("reason", cause.getMessage())
                .addKeyValue("tookMs", TimeUnit.NANOSECONDS.toMillis(tookNs))
                .addKeyValue("silenceMs", silenceMs())
                .log();
    }

    /** Records that a runner answered. */
    void recordAnswer() {
        lastSignOfLifeNs = clockNs.getAsLong();
    }

    private long silenceMs() {
        return TimeUnit.NANOSECONDS.toMillis(clockNs.getAsLong() - lastSignOfLifeNs);
    }
}
