package org.skylarkmast.daemon.peer;

import com.google.protobuf.ByteString;

import io.grpc.Context;
import io.grpc.stub.StreamObserver;

import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.ownership.OwnerLocation;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.CallerRequest;
import org.skylarkmast.daemon.entry.OwnerLink;
import org.skylarkmast.daemon.partition.PartitionRegistry;
import org.skylarkmast.rpc.peer.PeerProto.CallReply;
import org.skylarkmast.rpc.peer.PeerProto.CallRequest;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** Passes requests to their owner: into this node's partitions, or to a peer; thread-safe. */
public final class OwnerCalls implements OwnerLink {

    /** Reason told when the owner provably did not take the request. */
    private static final String NOT_TAKEN = "";

    private final String ownIncarnation;
    private final PartitionRegistry registry;
    private final PeerChannels channels;

    /**
     * @param ownNode this node's name
     */
    public OwnerCalls(String ownNode, PartitionRegistry registry, PeerChannels channels) {
        this.ownIncarnation = ownNode;
        this.registry = registry;
        this.channels = channels;
    }

    @Override
    public Runnable call(
            OwnerLocation owner,
            CallerRequest request,
            String traceParent,
            Consumer<CallerEvent> events,
            Consumer<String> gone) {
        return owner.node().equals(ownIncarnation)
                ? callHere(request, events, gone)
                : callPeer(owner, request, traceParent, events, gone);
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
            String traceParent,
            Consumer<CallerEvent> events,
            Consumer<String> gone) {
        Context.CancellableContext context = Context.ROOT.withCancellation();
        CallRequest message =
                CallRequest.newBuilder()
                        .setRequest(ByteString.copyFrom(JsonUtil.toBytes(request)))
                        .setTraceParent(traceParent)
                        .setHops(1)
                        .build();
        ReplyObserver observer = new ReplyObserver(events, gone);
        context.run(() -> channels.stub(owner.peerAddress()).call(message, observer));
        return () -> context.cancel(null);
    }

    /**
     * Turns a peer's replies into events, and the end of a stream without a final one into a gone.
     */
    private static final class ReplyObserver implements StreamObserver<CallReply> {
        private final Consumer<CallerEvent> events;
        private final Consumer<String> gone;
        private final AtomicBoolean ended = new AtomicBoolean();

        ReplyObserver(Consumer<CallerEvent> events, Consumer<String> gone) {
            this.events = events;
            this.gone = gone;
        }

        @Override
        public void onNext(CallReply reply) {
            if (reply.hasNotOwner()) {
                if (ended.compareAndSet(false, true)) {
                    gone.accept(NOT_TAKEN);
                }
                return;
            }
            CallerEvent event =
                    JsonUtil.fromBytes(reply.getEvent().toByteArray(), CallerEvent.class);
            if (!event.isFinal() || ended.compareAndSet(false, true)) {
                events.accept(event);
            }
        }

        @Override
        public void onError(Throwable failure) {
            if (ended.compareAndSet(false, true)) {
                gone.accept("peer failed: " + failure.getMessage());
            }
        }

        @Override
        public void onCompleted() {
            if (ended.compareAndSet(false, true)) {
                gone.accept("peer ended the stream early");
            }
        }
    }
}
