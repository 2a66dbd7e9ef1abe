package org.skylarkmast.daemon.telemetry;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.exporter.otlp.trace.OtlpGrpcSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Starts spans and exports them in the background; thread-safe.
 *
 * <p>Each exporter has a bounded queue of spans; when it is full, spans are dropped, so that a slow
 * collector never delays a call.
 */
public final class Tracing implements AutoCloseable {

    /** Resource attribute with the name of the node. */
    static final AttributeKey<String> NODE = AttributeKey.stringKey("service.instance.id");

    private static final AttributeKey<String> SERVICE = AttributeKey.stringKey("service.name");
    private static final String INSTRUMENTATION_SCOPE = "org.skylarkmast";
    private static final int MAX_QUEUED_SPANS = 4_096;
    private static final long EXPORT_INTERVAL_MS = 1_000;
    private static final long EXPORT_TIMEOUT_MS = 5_000;
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    private final SdkTracerProvider provider;
    private final Tracer tracer;

    /**
     * Starts tracing.
     *
     * @param node name of this node
     * @param traceFile file to append spans to as JSON lines
     * @param otlpEndpoint URL of a collector that accepts OTLP over gRPC
     */
    public Tracing(String node, Optional<Path> traceFile, Optional<String> otlpEndpoint) {
        SdkTracerProviderBuilder builder =
                SdkTracerProvider.builder()
                        .setResource(
                                Resource.create(
                                        Attributes.of(SERVICE, "skylarkmastd", NODE, node)));
        traceFile.ifPresent(file -> addExporter(builder, new JsonLinesSpanExporter(file)));
        otlpEndpoint.ifPresent(
                endpoint ->
                        addExporter(
                                builder,
                                OtlpGrpcSpanExporter.builder()
                                        .setEndpoint(endpoint)
                                        .setTimeout(EXPORT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                                        .build()));
        this.provider = builder.build();
        this.tracer = provider.get(INSTRUMENTATION_SCOPE);
    }

    /**
     * Starts a span; the caller ends it.
     *
     * @param parent local or remote parent span; empty starts a new trace
     */
    public Span start(String name, SpanKind kind, Optional<SpanContext> parent) {
        Context context =
                parent.map(span -> Context.root().with(Span.wrap(span))).orElseGet(Context::root);
        return tracer.spanBuilder(name).setSpanKind(kind).setParent(context).startSpan();
    }

    /** Exports the queued spans, for at most the close timeout, and stops. */
    @Override
    public void close() {
        provider.shutdown().join(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private static void addExporter(SdkTracerProviderBuilder builder, SpanExporter exporter) {
        builder.addSpanProcessor(
                BatchSpanProcessor.builder(exporter)
                        .setMaxQueueSize(MAX_QUEUED_SPANS)
                        .setScheduleDelay(EXPORT_INTERVAL_MS, TimeUnit.MILLISECONDS)
                        .setExporterTimeout(EXPORT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                        .build());
    }
}
