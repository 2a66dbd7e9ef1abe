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

/** Logs and counts this node's contact with runners, of all services together; thread-safe. */
public final class RunnerContact {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerContact.class);
    private static final double MS_PER_S = 1e3;

    /**
     * Time without a sign of life of any runner while a request waits, from which the node may be
     * cut off. Runners answer within tens of ms, and one of many always does.
     */
    private static final long SUSPICIOUS_SILENCE_MS = 250;

    private final LongSupplier clockNs;
    private final Counter connects;
    private long lastSignOfLifeNs;
    private long waitingSinceNs;
    private int waiting;
    private boolean connectFailed;

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
            recordAccepted();
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
        synchronized (this) {
            connectFailed = true;
        }
        LOG.atInfo()
                .addKeyValue("event", "runner_connect_failed")
                .addKeyValue("runner", runner.id())
                .addKeyValue("outcome", outcome)
                .addKeyValue("reason", cause.getMessage())
                .addKeyValue("tookMs", TimeUnit.NANOSECONDS.toMillis(tookNs))
                .addKeyValue("silenceMs", silenceMs())
                .log();
    }

    /** Records that a request is about to be sent and then waits for an answer. */
    synchronized void recordWaiting() {
        if (waiting++ == 0) {
            waitingSinceNs = clockNs.getAsLong();
        }
    }

    /** Records that a request no longer waits for an answer. */
    synchronized void recordWaitEnded() {
        waiting--;
    }

    /** Records that a runner answered. */
    synchronized void recordAnswer() {
        lastSignOfLifeNs = clockNs.getAsLong();
    }

    /** Records that a runner accepted a new connection. */
    public synchronized void recordAccepted() {
        lastSignOfLifeNs = clockNs.getAsLong();
        connectFailed = false;
    }

    /**
     * Whether this node may be cut off from all runners: none has accepted a connection since a
     * connect failed, or none has given a sign of life for a while although a request waits.
     */
    public synchronized boolean suggestsCutOff() {
        if (connectFailed) {
            return true;
        }
        long silentSinceNs = Math.max(lastSignOfLifeNs, waitingSinceNs);
        return waiting > 0
                && clockNs.getAsLong() - silentSinceNs
                        >= TimeUnit.MILLISECONDS.toNanos(SUSPICIOUS_SILENCE_MS);
    }

    private synchronized long silenceMs() {
        return TimeUnit.NANOSECONDS.toMillis(clockNs.getAsLong() - lastSignOfLifeNs);
    }
}
