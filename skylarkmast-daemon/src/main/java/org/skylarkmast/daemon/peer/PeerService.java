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

/** Serves peers; the short exchanges are functions of the slices that they belong to. */
public final class PeerService extends PeerGrpc.PeerImplBase {
    private final Supplier<PartitionRegistry> registry;
    private final Exchanges exchanges;

    /** The short exchanges between peers. */
    public record Exchanges(
            Function<HeartbeatRequest, HeartbeatReply> heartbeat,
            Function<StoreCopiesRequest, StoreCopiesReply> storeCopies,
            Function<FetchCopiesRequest, FetchCopiesReply> fetchCopies,
            Function<FetchConfigurationRequest, FetchConfigurationReply> fetchConfiguration) {}

    /** Serves forwarded calls from {@code registry}. */
    public PeerService(Supplier<PartitionRegistry> registry, Exchanges exchanges) {
        this.registry = registry;
        this.exchanges = exchanges;
    }

    @Override
    public void call(CallRequest message, StreamObserver<CallReply> observer) {
        ServerCallStreamObserver<CallReply> replies =
                (ServerCallStreamObserver<CallReply>) observer;
        CallerRequest request =
                JsonUtil.fromBytes(message.getRequest().toByteArray(), CallerRequest.class);
        int partition = request.program().partition();
        SerialReplies serial = new SerialReplies(replies);
        long[] waiterId = {0};
        replies.setOnCancelHandler(() -> registry.get().waiterGone(partition, waiterId[0]));
        Optional<Long> waiter = registry.get().request(request, serial::event);
        if (waiter.isPresent()) {
            waiterId[0] = waiter.get();
        } else {
            serial.notOwner(partition);
        }
    }

    @Override
    public void heartbeat(HeartbeatRequest request, StreamObserver<HeartbeatReply> observer) {
        answer(exchanges.heartbeat().apply(request), observer);
    }

    @Override
    public void storeCopies(StoreCopiesRequest request, StreamObserver<StoreCopiesReply> observer) {
        answer(exchanges.storeCopies().apply(request), observer);
    }

    @Override
    public void fetchCopies(FetchCopiesRequest request, StreamObserver<FetchCopiesReply> observer) {
        answer(exchanges.fetchCopies().apply(request), observer);
    }

    @Override
    public void fetchConfiguration(
            FetchConfigurationRequest request, StreamObserver<FetchConfigurationReply> observer) {
        answer(exchanges.fetchConfiguration().apply(request), observer);
    }

    private static <T> void answer(T reply, StreamObserver<T> observer) {
        observer.onNext(reply);
        observer.onCompleted();
    }

    /**
     * Writes replies one at a time, since events come from loops and the stream takes one writer.
     */
    private static final class SerialReplies {
        private final ServerCallStreamObserver<CallReply> replies;
        private boolean ended;

        SerialReplies(ServerCallStreamObserver<CallReply> replies) {
            this.replies = replies;
        }

        synchronized void event(CallerEvent event) {
            write(
                    CallReply.newBuilder()
                            .setEvent(ByteString.copyFrom(JsonUtil.toBytes(event)))
                            .build(),
                    event.isFinal());
        }

        synchronized void notOwner(int partition) {
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
