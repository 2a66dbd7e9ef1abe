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

/** Passes requests to their owner, which is either this node or a peer. Thread-safe. */
public final class RoutingOwnerClient implements OwnerClient {

    /** Reason reported if the owner is known not to have accepted the request. */
    private static final String NOT_ACCEPTED = "";

    private final String ownNode;
    private final PartitionRegistry registry;
    private final PeerChannels channels;
    private final Tracing tracing;

    /**
     * @param ownNode name of this node
     */
    public RoutingOwnerClient(
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
            Consumer<CallerEvent> onEvent,
            Consumer<String> onOwnerLost) {
        return owner.node().equals(ownNode)
                ? callLocally(request, onEvent, onOwnerLost)
                : callPeer(owner, request, onEvent, onOwnerLost);
    }

    private Runnable callLocally(
            CallerRequest request, Consumer<CallerEvent> onEvent, Consumer<String> onOwnerLost) {
        Optional<Long> waiter = registry.request(request, onEvent);
        if (waiter.isEmpty()) {
            onOwnerLost.accept(NOT_ACCEPTED);
            return () -> {};
        }
        return () -> registry.onWaiterDisconnected(request.program().partition(), waiter.get());
    }

    private Runnable callPeer(
            OwnerLocation owner,
            CallerRequest request,
            Consumer<CallerEvent> onEvent,
            Consumer<String> onOwnerLost) {
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
        ReplyObserver observer = new ReplyObserver(onEvent, onOwnerLost, span);
        context.run(() -> channels.stub(owner.peerAddress()).call(message, observer));
        return () -> context.cancel(null);
    }

    /**
     * Converts the replies of a peer into events and reports the owner as lost if the stream ends
     * without a final event.
     */
    private static final class ReplyObserver implements StreamObserver<CallReply> {
        private final Consumer<CallerEvent> onEvent;
        private final Consumer<String> onOwnerLost;
        private final Span span;
        private final AtomicBoolean ended = new AtomicBoolean();

        ReplyObserver(Consumer<CallerEvent> onEvent, Consumer<String> onOwnerLost, Span span) {
            this.onEvent = onEvent;
            this.onOwnerLost = onOwnerLost;
            this.span = span;
        }

        @Override
        public void onNext(CallReply reply) {
            if (reply.hasNotOwner()) {
                fail(NOT_ACCEPTED);
                return;
            }
            CallerEvent event =
                    JsonUtil.fromBytes(reply.getEvent().toByteArray(), CallerEvent.class);
            if (!event.isFinal()) {
                onEvent.accept(event);
            } else if (ended.compareAndSet(false, true)) {
                span.end();
                onEvent.accept(event);
            }
        }

        @Override
        public void onError(Throwable failure) {
            fail("peer failed: " + failure.getMessage());
        }

        @Override
        public void onCompleted() {
            fail("peer ended the stream early");
        }

        private void fail(String reason) {
            if (ended.compareAndSet(false, true)) {
                span.setAttribute("gone", reason);
                span.end();
                onOwnerLost.accept(reason);
            }
        }
    }
}
