package org.skylarkmast.daemon.dispatch;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.daemon.telemetry.TraceParent;
import org.skylarkmast.daemon.telemetry.Tracing;

/** The tracing spans of a call at its owner: queue, dispatch and target. Thread-safe. */
final class CallSpans {
    private final Tracing tracing;
    private final Map<Long, Span> queueSpans = new ConcurrentHashMap<>();

    CallSpans(Tracing tracing) {
        this.tracing = tracing;
    }

    /** Starts the queue span of a call that waits for a runner. */
    void startQueueSpan(long callId, ProgramKey program, String traceParent) {
        Span span = start("queue", SpanKind.INTERNAL, traceParent);
        span.setAttribute("program", program.toString());
        queueSpans.put(callId, span);
    }

    /** Ends the queue span of a call, if it has one. */
    void endQueueSpan(long callId) {
        Span span = queueSpans.remove(callId);
        if (span != null) {
            span.end();
        }
    }

    /**
     * Runs an attempt within its dispatch and target spans.
     *
     * @param attempt receives the trace context to send to the runner
     */
    void traceAttempt(long callId, String runner, String traceParent, Consumer<String> attempt) {
        Span dispatch = start("dispatch", SpanKind.INTERNAL, traceParent);
        dispatch.setAttribute("callId", callId);
        Span target =
                tracing.start("target", SpanKind.CLIENT, Optional.of(dispatch.getSpanContext()));
        target.setAttribute("target", runner);
        try {
            attempt.accept(TraceParent.format(target.getSpanContext()));
        } finally {
            target.end();
            dispatch.end();
        }
    }

    private Span start(String name, SpanKind kind, String traceParent) {
        return tracing.start(name, kind, TraceParent.parse(traceParent));
    }
}
