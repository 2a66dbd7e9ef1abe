package org.skylarkmast.daemon.telemetry;

import static com.google.common.truth.Truth.assertThat;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.databind.JsonNode;

class TracingTest {
    private static final String HEADER = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

    @TempDir private Path folder;

    @ParameterizedTest
    @CsvSource({
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01, true",
        "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00-more, true",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more, false",
        "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01, false",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01, false",
        "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01, false",
        "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01, false",
        "nonsense, false"
    })
    void parsesOnlyValidTraceParents(String header, boolean valid) {
        assertThat(TraceParent.parse(header).isPresent()).isEqualTo(valid);
    }

    @Test
    void formatsAParsedHeaderUnchanged() {
        assertThat(TraceParent.parse(HEADER).map(TraceParent::format)).hasValue(HEADER);
    }

    @Test
    void exportsSpansAsJsonLinesWithTheirParents() throws IOException {
        Path file = folder.resolve("spans.jsonl");
        try (Tracing tracing = new Tracing("entry-1", Optional.of(file), Optional.empty())) {
            Span entry = tracing.start("entry", SpanKind.SERVER, TraceParent.parse(HEADER));
            Span send = tracing.start("send", SpanKind.CLIENT, Optional.of(entry.getSpanContext()));
            send.setAttribute("runner", "e1").setAttribute("attempt", 2L).end();
            entry.end();
        }
        List<JsonNode> spans =
                Files.readAllLines(file).stream().map(JsonUtil.MAPPER::readTree).toList();
        assertThat(spans.stream().map(span -> span.path("name").asString()).toList())
                .containsExactly("send", "entry")
                .inOrder();
        assertThat(spans.get(0).path("parentSpanId")).isEqualTo(spans.get(1).path("spanId"));
        assertThat(spans.get(0).path("attributes"))
                .isEqualTo(JsonUtil.MAPPER.readTree("{\"attempt\":2,\"runner\":\"e1\"}"));
        assertThat(spans.get(1).path("parentSpanId").asString()).isEqualTo("b7ad6b7169203331");
        assertThat(spans.get(1).path("node").asString()).isEqualTo("entry-1");
    }

    @Test
    void continuesWithoutACollectorOrAWritableFile() {
        Path unwritable = folder.resolve("missing").resolve("spans.jsonl");
        try (Tracing tracing =
                new Tracing(
                        "entry-1", Optional.of(unwritable), Optional.of("http://127.0.0.1:1"))) {
            tracing.start("entry", SpanKind.SERVER, Optional.empty()).end();
        }
        assertThat(Files.exists(unwritable)).isFalse();
    }
}
