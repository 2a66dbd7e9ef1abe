package org.skylarkmast.daemon.entry;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.CallerRequest;
import org.skylarkmast.daemon.telemetry.DaemonMetrics;
import org.skylarkmast.daemon.telemetry.TraceParent;
import org.skylarkmast.daemon.telemetry.Tracing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records the span, the metrics and the log line of a request at its entry node. Thread-safe. */
public final class RequestInstrumentation {
    private static final Logger LOG = LoggerFactory.getLogger(RequestInstrumentation.class);

    private final Tracing tracing;
    private final DaemonMetrics metrics;
    private final LongSupplier clockNs;

    /** Creates an instrumentation that measures time by {@code clockNs}, a monotonic clock. */
    public RequestInstrumentation(Tracing tracing, DaemonMetrics metrics, LongSupplier clockNs) {
        this.tracing = tracing;
        this.metrics = metrics;
        this.clockNs = clockNs;
    }

    /**
     * Runs a request within its span.
     *
     * @param serve serves the request, which carries the trace context of that span, and passes
     *     every event to the observer
     */
    public void run(CallerRequest request, BiConsumer<CallerRequest, Consumer<CallerEvent>> serve) {
        Span span =
                tracing.start("entry", SpanKind.SERVER, TraceParent.parse(request.traceParent()));
        span.setAttribute("program", request.program().toString());
        span.setAttribute("request", request.idempotencyKey());
        long startNs = clockNs.getAsLong();
        String[] outcome = {"left"};
        boolean[] firstTokenSeen = {false};
        try {
            serve.accept(
                    request.withTraceParent(TraceParent.format(span.getSpanContext())),
                    event -> {
                        if (event instanceof CallerEvent.Token && !firstTokenSeen[0]) {
                            firstTokenSeen[0] = true;
                            metrics.recordFirstToken(clockNs.getAsLong() - startNs);
                        }
                        if (event.isFinal()) {
                            outcome[0] = outcomeOf(event);
                        }
                    });
        } finally {
            long durationNs = clockNs.getAsLong() - startNs;
            metrics.recordCall(outcome[0], durationNs);
            span.setAttribute("outcome", outcome[0]);
            span.end();
            LOG.atDebug()
                    .addKeyValue("event", "request_ended")
                    .addKeyValue("program", request.program())
                    .addKeyValue("request", request.idempotencyKey())
                    .addKeyValue("outcome", outcome[0])
                    .addKeyValue("tookMs", durationNs / 1_000_000)
                    .log();
        }
    }

    private static String outcomeOf(CallerEvent event) {
        return switch (event) {
            case CallerEvent.Refused refused ->
                    refused.refusal().kind().name().toLowerCase(Locale.ROOT);
            case CallerEvent.ModelAnswered ignored -> "answered";
            case CallerEvent.ServiceAnswered ignored -> "answered";
            case CallerEvent.Ended ignored -> "answered";
            case CallerEvent.ProgramRead ignored -> "answered";
            case CallerEvent.Token ignored ->
                    throw new IllegalStateException("a token is not a final event");
        };
    }
}
