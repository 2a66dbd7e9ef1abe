package org.skylarkmast.daemon.peer;

import com.google.protobuf.ByteString;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.CallerRequest;
import org.skylarkmast.daemon.partition.PartitionRegistry;
import org.skylarkmast.rpc.peer.PeerGrpc;
import org.skylarkmast.rpc.peer.PeerProto.CallReply;
import org.skylarkmast.rpc.peer.PeerProto.CallRequest;
import org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply;
import org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest;
import org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply;
import org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest;
import org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply;
import org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest;
import org.skylarkmast.rpc.peer.PeerProto.NotOwner;
import org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply;
import org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest;

/** Serves the requests of peers; unary calls are delegated to {@link UnaryHandlers}. */
public final class PeerService extends PeerGrpc.PeerImplBase {
    private final Supplier<PartitionRegistry> registry;
    private final UnaryHandlers handlers;

    /** The handlers of the unary calls. */
    public record UnaryHandlers(
            Function<HeartbeatRequest, HeartbeatReply> heartbeat,
            Function<StoreCopiesRequest, StoreCopiesReply> storeCopies,
            Function<FetchCopiesRequest, FetchCopiesReply> fetchCopies,
            Function<FetchConfigurationRequest, FetchConfigurationReply> fetchConfiguration) {}

    /**
     * Creates a service.
     *
     * @param registry the partitions that answer forwarded calls
     */
    public PeerService(Supplier<PartitionRegistry> registry, UnaryHandlers handlers) {
        this.registry = registry;
        this.handlers = handlers;
    }

    @Override
    public void call(CallRequest message, StreamObserver<CallReply> observer) {
        ServerCallStreamObserver<CallReply> replies =
                (ServerCallStreamObserver<CallReply>) observer;
        CallerRequest request =
                JsonUtil.fromBytes(message.getRequest().toByteArray(), CallerRequest.class);
        int partition = request.program().partition();
        SerializedReplies serializedReplies = new SerializedReplies(replies);
        long[] waiterId = {0};
        replies.setOnCancelHandler(
                () -> registry.get().onWaiterDisconnected(partition, waiterId[0]));
        Optional<Long> waiter = registry.get().request(request, serializedReplies::sendEvent);
        if (waiter.isPresent()) {
            waiterId[0] = waiter.get();
        } else {
            serializedReplies.sendNotOwner(partition);
        }
    }

    @Override
    public void heartbeat(HeartbeatRequest request, StreamObserver<HeartbeatReply> observer) {
        reply(handlers.heartbeat().apply(request), observer);
    }

    @Override
    public void storeCopies(StoreCopiesRequest request, StreamObserver<StoreCopiesReply> observer) {
        reply(handlers.storeCopies().apply(request), observer);
    }

    @Override
    public void fetchCopies(FetchCopiesRequest request, StreamObserver<FetchCopiesReply> observer) {
        reply(handlers.fetchCopies().apply(request), observer);
    }

    @Override
    public void fetchConfiguration(
            FetchConfigurationRequest request, StreamObserver<FetchConfigurationReply> observer) {
        reply(handlers.fetchConfiguration().apply(request), observer);
    }

    private static <T> void reply(T message, StreamObserver<T> observer) {
        observer.onNext(message);
        observer.onCompleted();
    }

    /**
     * Writes replies one at a time: events arrive from several event loops, but the stream is not
     * thread-safe.
     */
    private static final class SerializedReplies {
        private final ServerCallStreamObserver<CallReply> replies;
        private boolean ended;

        SerializedReplies(ServerCallStreamObserver<CallReply> replies) {
            this.replies = replies;
        }

        synchronized void sendEvent(CallerEvent event) {
            write(
                    CallReply.newBuilder()
                            .setEvent(ByteString.copyFrom(JsonUtil.toBytes(event)))
                            .build(),
                    event.isFinal());
        }

        synchronized void sendNotOwner(int partition) {
            write(
                    CallReply.newBuilder()
                            .setNotOwner(NotOwner.newBuilder().setPartition(partition))
                            .build(),
                    true);
        }

        private void write(CallReply reply, boolean last) {
            if (ended || replies.isCancelled()) {
                return;
            }
            replies.onNext(reply);
            if (last) {
                ended = true;
                replies.onCompleted();
            }
        }
    }
}
