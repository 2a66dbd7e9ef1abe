package org.skylarkmast.daemon.telemetry;

import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The {@code traceparent} header of W3C Trace Context. */
public final class TraceParent {

    /** Name of the header. */
    public static final String HEADER = "traceparent";

    /** Later versions may append fields after the flags; version 00 has none, ff is reserved. */
    private static final Pattern FORM =
            Pattern.compile(
                    "(?!ff)([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?");

    private static final String VERSION = "00";

    private TraceParent() {}

    /** Reads a header; empty if it is malformed, in which case a new trace begins. */
    public static Optional<SpanContext> parse(String header) {
        Matcher matcher = FORM.matcher(header);
        if (!matcher.matches() || (matcher.group(1).equals(VERSION) && matcher.group(5) != null)) {
            return Optional.empty();
        }
        SpanContext context =
                SpanContext.createFromRemoteParent(
                        matcher.group(2),
                        matcher.group(3),
                        TraceFlags.fromHex(matcher.group(4), 0),
                        TraceState.getDefault());
        return context.isValid() ? Optional.of(context) : Optional.empty();
    }

    /** Writes the header for a hop whose parent is the span of {@code context}. */
    public static String format(SpanContext context) {
        return VERSION
                + "-"
                + context.getTraceId()
                + "-"
                + context.getSpanId()
                + "-"
                + context.getTraceFlags().asHex();
    }
}
