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

/** The spans of a call's hops at its owner: queue, dispatch and target; thread-safe. */
final class CallSpans {
    private final Tracing tracing;
    private final Map<Long, Span> queues = new ConcurrentHashMap<>();

    CallSpans(Tracing tracing) {
        this.tracing = tracing;
    }

    /** A call began to wait for a runner. */
    void queued(long callId, ProgramKey program, String traceParent) {
        Span span = start("queue", SpanKind.INTERNAL, traceParent);
        span.setAttribute("program", program.toString());
        queues.put(callId, span);
    }

    /** A call no longer waits. */
    void left(long callId) {
        Span span = queues.remove(callId);
        if (span != null) {
            span.end();
        }
    }

    /**
     * Runs an attempt inside its spans.
     *
     * @param attempt takes the trace context to send to the runner
     */
    void sending(long callId, String runner, String traceParent, Consumer<String> attempt) {
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
