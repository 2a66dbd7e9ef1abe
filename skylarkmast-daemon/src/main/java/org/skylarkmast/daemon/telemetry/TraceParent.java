package org.skylarkmast.daemon.telemetry;

import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The {@code traceparent} header of W3C Trace Context. */
public final class TraceParent {

    /** Header name. */
    public static final String HEADER = "traceparent";

    /** Versions above 00 may append fields after the flags; version ff is reserved. */
    private static final Pattern PATTERN =
            Pattern.compile(
                    "(?!ff)([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?");

    private static final String VERSION = "00";

    private TraceParent() {}

    /** Parses a header; empty if it is malformed, in which case the caller starts a new trace. */
    public static Optional<SpanContext> parse(String header) {
        Matcher matcher = PATTERN.matcher(header);
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

    /** Formats the header for a request whose parent span is that of {@code context}. */
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
