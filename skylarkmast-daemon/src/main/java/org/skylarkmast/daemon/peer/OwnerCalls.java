package org.skylarkmast.daemon.peer;

import com.google.protobuf.ByteString;
import io.grpc.Context;
import io.grpc.stub.StreamObserver;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.ownership.OwnerLocation;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.CallerRequest;
import org.skylarkmast.daemon.entry.OwnerClient;
import org.skylarkmast.daemon.partition.PartitionRegistry;
import org.skylarkmast.daemon.telemetry.TraceParent;
import org.skylarkmast.daemon.telemetry.Tracing;
import org.skylarkmast.rpc.peer.PeerProto.CallReply;
import org.skylarkmast.rpc.peer.PeerProto.CallRequest;

/** Passes requests to their owner: into this node's partitions, or to a peer; thread-safe. */
public final class OwnerCalls implements OwnerClient {

    /** Reason told when the owner provably did not take the request. */
    private static final String NOT_TAKEN = "";

    private final String ownNode;
    private final PartitionRegistry registry;
    private final PeerChannels channels;
    private final Tracing tracing;

    /**
     * @param ownNode this node's name
     */
    public OwnerCalls(
            String ownNode, PartitionRegistry registry, PeerChannels channels, Tracing tracing) {
        this.ownNode = ownNode;
        this.registry = registry;
        this.channels = channels;
        this.tracing = tracing;
    }

    @Override
    public Runnable call(
            OwnerLocation owner,
            CallerRequest request,
            Consumer<CallerEvent> events,
            Consumer<String> gone) {
        return owner.node().equals(ownNode)
                ? callHere(request, events, gone)
                : callPeer(owner, request, events, gone);
    }

    private Runnable callHere(
            CallerRequest request, Consumer<CallerEvent> events, Consumer<String> gone) {
        Optional<Long> waiter = registry.request(request, events);
        if (waiter.isEmpty()) {
            gone.accept(NOT_TAKEN);
            return () -> {};
        }
        return () -> registry.waiterGone(request.program().partition(), waiter.get());
    }

    private Runnable callPeer(
            OwnerLocation owner,
            CallerRequest request,
            Consumer<CallerEvent> events,
            Consumer<String> gone) {
        Context.CancellableContext context = Context.ROOT.withCancellation();
        Span span =
                tracing.start("forward", SpanKind.CLIENT, TraceParent.parse(request.traceParent()));
        span.setAttribute("owner", owner.node());
        CallerRequest forwarded =
                request.withTraceParent(TraceParent.format(span.getSpanContext()));
        CallRequest message =
                CallRequest.newBuilder()
                        .setRequest(ByteString.copyFrom(JsonUtil.toBytes(forwarded)))
                        .setHops(1)
                        .build();
        ReplyObserver observer = new ReplyObserver(events, gone, span);
        context.run(() -> channels.stub(owner.peerAddress()).call(message, observer));
        return () -> context.cancel(null);
    }

    /**
     * Turns a peer's replies into events, and the end of a stream without a final one into a gone.
     */
    private static final class ReplyObserver implements StreamObserver<CallReply> {
        private final Consumer<CallerEvent> events;
        private final Consumer<String> gone;
        private final Span span;
        private final AtomicBoolean ended = new AtomicBoolean();

        ReplyObserver(Consumer<CallerEvent> events, Consumer<String> gone, Span span) {
            this.events = events;
            this.gone = gone;
            this.span = span;
        }

        @Override
        public void onNext(CallReply reply) {
            if (reply.hasNotOwner()) {
                endWith(NOT_TAKEN);
                return;
            }
            CallerEvent event =
                    JsonUtil.fromBytes(reply.getEvent().toByteArray(), CallerEvent.class);
            if (!event.isFinal()) {
                events.accept(event);
            } else if (ended.compareAndSet(false, true)) {
                span.end();
                events.accept(event);
            }
        }

        @Override
        public void onError(Throwable failure) {
            endWith("peer failed: " + failure.getMessage());
        }

        @Override
        public void onCompleted() {
            endWith("peer ended the stream early");
        }

        private void endWith(String reason) {
            if (ended.compareAndSet(false, true)) {
                span.setAttribute("gone", reason);
                span.end();
                gone.accept(reason);
            }
        }
    }
}
