package org.skylarkmast.relay.forward;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Logs and counts each request that ended; thread-safe. */
public final class RequestLog {
    private static final Logger LOG = LoggerFactory.getLogger(RequestLog.class);
    private static final double NS_PER_SECOND = 1e9;
    private static final long NS_PER_MS = 1_000_000;

    private final Counter requests;
    private final Counter runnerAnswers;
    private final Counter sendsToLimitedRunners;
    private final Histogram seconds;
    private final Set<Entry> unfinished = ConcurrentHashMap.newKeySet();

    /**
     * The data logged for a request, filled in by the thread that serves it. At the end of the
     * process another thread may log what is known by then.
     */
    static final class Entry {
        final long startedNs;
        String requestId = "";
        String program = "";
        String route = "";
        String workspace = "";
        String service = "";
        String runner = "";
        String runnerVersion = "";
        String peer = "";
        boolean fromPeer;
        OptionalDouble runnerLimit = OptionalDouble.empty();
        long limitDelayMs;
        String resumedRequestId = "";
        String reservation = "";
        String fingerprint = "";
        String framing = "";
        String reason = "";
        long version;
        int chainLength;
        int sends;
        int tokens;
        int trailingBytes;
        int status;

        Entry(long startedNs) {
            this.startedNs = startedNs;
        }
    }

    /** Registers the request metrics with {@code registry}. */
    public RequestLog(PrometheusRegistry registry) {
        requests =
                Counter.builder()
                        .name("skylarkmast_requests_total")
                        .help("Requests that ended, by outcome and status.")
                        .labelNames("outcome", "status")
                        .register(registry);
        runnerAnswers =
                Counter.builder()
                        .name("skylarkmast_runner_answers_total")
                        .help("Runners' answers by framing, and whether all events were complete.")
                        .labelNames("framing", "outcome", "ends_inside_event")
                        .register(registry);
        sendsToLimitedRunners =
                Counter.builder()
                        .name("skylarkmast_sends_to_limited_runners_total")
                        .help("Sends to runners that had stated a rate limit to this node.")
                        .register(registry);
        seconds =
                Histogram.builder()
                        .name("skylarkmast_request_seconds")
                        .help("Time from a request's head to the end of its answer.")
                        .classicUpperBounds(0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 2, 4, 10)
                        .classicOnly()
                        .labelNames("outcome")
                        .register(registry);
    }

    /** Counts the sends of one request to runners that had stated a rate limit. */
    void countSendsToLimitedRunners(int sends) {
        sendsToLimitedRunners.inc(sends);
    }

    /** Returns the entry of a request that begins. */
    Entry begin() {
        Entry entry = new Entry(System.nanoTime());
        unfinished.add(entry);
        return entry;
    }

    /** Logs the requests that the end of the process cuts off; returns their number. */
    public int logUnfinished() {
        List<Entry> cutOff = List.copyOf(unfinished);
        cutOff.forEach(entry -> logEnd("cut_off", entry));
        return cutOff.size();
    }

    private static Object toText(OptionalDouble value) {
        return value.isPresent() ? value.getAsDouble() : "";
    }

    /** Logs a request that an exception ended, unless its end has been logged. */
    void logFailed(Entry entry) {
        logEnd("failed", entry);
    }

    /** Logs and counts the end of a request; only its first end counts. */
    void logEnd(String outcome, Entry entry) {
        if (!unfinished.remove(entry)) {
            return;
        }
        long tookNs = System.nanoTime() - entry.startedNs;
        requests.labelValues(outcome, Integer.toString(entry.status)).inc();
        if (!entry.framing.isEmpty()) {
            String endsInsideEvent = Boolean.toString(entry.trailingBytes > 0);
            runnerAnswers.labelValues(entry.framing, outcome, endsInsideEvent).inc();
        }
        seconds.labelValues(outcome).observe(tookNs / NS_PER_SECOND);
        LoggingEventBuilder line = LOG.atInfo();
        if (!entry.workspace.isEmpty()) {
            line = line.addKeyValue("workspace", entry.workspace);
        }
        line.addKeyValue("event", "request_ended")
                .addKeyValue("request", entry.requestId)
                .addKeyValue("outcome", outcome)
                .addKeyValue("status", entry.status)
                .addKeyValue("route", entry.route)
                .addKeyValue("version", entry.version)
                .addKeyValue("program", entry.program)
                .addKeyValue("service", entry.service)
                .addKeyValue("runner", entry.runner)
                .addKeyValue("runnerVersion", entry.runnerVersion)
                .addKeyValue("peer", entry.peer)
                .addKeyValue("fromPeer", entry.fromPeer)
                .addKeyValue("runnerLimit", toText(entry.runnerLimit))
                .addKeyValue("limitDelayMs", entry.limitDelayMs)
                .addKeyValue("resumes", entry.resumedRequestId)
                .addKeyValue("sends", entry.sends)
                .addKeyValue("reservation", entry.reservation)
                .addKeyValue("fingerprint", entry.fingerprint)
                .addKeyValue("chain", entry.chainLength)
                .addKeyValue("tokens", entry.tokens)
                .addKeyValue("framing", entry.framing)
                .addKeyValue("trailingBytes", entry.trailingBytes)
                .addKeyValue("tookMs", tookNs / NS_PER_MS)
                .addKeyValue("reason", entry.reason)
                .log();
    }
}
