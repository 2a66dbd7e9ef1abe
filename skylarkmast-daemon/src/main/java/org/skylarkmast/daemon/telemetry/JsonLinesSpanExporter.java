package org.skylarkmast.daemon.telemetry;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Collection;
import org.skylarkmast.core.json.JsonUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tools.jackson.databind.node.ObjectNode;

/** Appends spans to a file, one JSON object per line. Not thread-safe: one caller at a time. */
public final class JsonLinesSpanExporter implements SpanExporter {
    private static final Logger LOG = LoggerFactory.getLogger(JsonLinesSpanExporter.class);

    private final Path file;
    private boolean failing;

    /**
     * Creates an exporter; the file is created with the first spans.
     *
     * @param file file to append to, whose folder must exist
     */
    public JsonLinesSpanExporter(Path file) {
        this.file = file;
    }

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        StringBuilder lines = new StringBuilder();
        spans.forEach(span -> lines.append(toJson(span)).append('\n'));
        try {
            Files.writeString(file, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
            failing = false;
            return CompletableResultCode.ofSuccess();
        } catch (IOException e) {
            if (!failing) {
                LOG.atError()
                        .addKeyValue("event", "trace_file_not_written")
                        .addKeyValue("file", file)
                        .setCause(e)
                        .log();
            }
            failing = true;
            return CompletableResultCode.ofFailure();
        }
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }

    private static ObjectNode toJson(SpanData span) {
        ObjectNode json =
                JsonUtil.MAPPER
                        .createObjectNode()
                        .put("traceId", span.getTraceId())
                        .put("spanId", span.getSpanId())
                        .put("parentSpanId", span.getParentSpanId())
                        .put("name", span.getName())
                        .put("kind", span.getKind().name())
                        .put("node", span.getResource().getAttribute(Tracing.NODE))
                        .put("startNs", span.getStartEpochNanos())
                        .put("endNs", span.getEndEpochNanos())
                        .put("status", span.getStatus().getStatusCode().name());
        ObjectNode attributes = json.putObject("attributes");
        span.getAttributes().forEach((key, value) -> attributes.putPOJO(key.getKey(), value));
        return json;
    }
}
