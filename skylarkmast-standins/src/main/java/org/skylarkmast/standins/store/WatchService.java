package org.skylarkmast.standins.store;

import static org.skylarkmast.standins.store.EtcdMessages.header;
import static org.skylarkmast.standins.store.EtcdMessages.rangeEnd;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.skylarkmast.rpc.etcd.EtcdProto;
import org.skylarkmast.rpc.etcd.WatchGrpc;

/** etcd's Watch service over a {@link StoreState}; all changes of a revision go in one message. */
final class WatchService extends WatchGrpc.WatchImplBase {
    private final StoreState state;
    private final CallGate gate;
    private final Set<Stream> streams = ConcurrentHashMap.newKeySet();

    private volatile long refusedUpToRevision;

    WatchService(StoreState state, CallGate gate) {
        this.state = state;
        this.gate = gate;
    }

    /** Watches waiting now. */
    int waiting() {
        return streams.stream().mapToInt(Stream::watchCount).sum();
    }

    /** Breaks all streams with UNAVAILABLE. */
    void breakAll() {
        streams.forEach(stream -> stream.fail(Status.UNAVAILABLE.withDescription("watch broken")));
    }

    /** Refuses watches until {@code changes} further revisions were made, then compacts these. */
    void refuseUntilCompacted(int changes) {
        refusedUpToRevision = state.revision() + changes;
    }

    private Optional<Status> refusal() {
        Optional<Status> refused = gate.admit(CallGate.CallKind.WATCH);
        if (refused.isPresent() || refusedUpToRevision == 0) {
            return refused;
        }
        if (state.revision() < refusedUpToRevision) {
            return Optional.of(Status.UNAVAILABLE.withDescription("watches are refused"));
        }
        state.compact(refusedUpToRevision);
        refusedUpToRevision = 0;
        return Optional.empty();
    }

    @Override
    public StreamObserver<EtcdProto.WatchRequest> watch(
            StreamObserver<EtcdProto.WatchResponse> observer) {
        Stream stream = new Stream(observer);
        streams.add(stream);
        ((ServerCallStreamObserver<EtcdProto.WatchResponse>) observer)
                .setOnCancelHandler(stream::end);
        return stream;
    }

    private final class Stream implements StreamObserver<EtcdProto.WatchRequest> {
        private final StreamObserver<EtcdProto.WatchResponse> observer;
        private final Map<Long, Runnable> unsubscribes = new HashMap<>();

        private long lastWatchId;
        private boolean ended;

        Stream(StreamObserver<EtcdProto.WatchResponse> observer) {
            this.observer = observer;
        }

        synchronized int watchCount() {
            return unsubscribes.size();
        }

        @Override
        public void onNext(EtcdProto.WatchRequest request) {
            switch (request.getRequestUnionCase()) {
                case CREATE_REQUEST -> create(request.getCreateRequest());
                case CANCEL_REQUEST -> cancel(request.getCancelRequest().getWatchId());
                case PROGRESS_REQUEST, REQUESTUNION_NOT_SET -> {}
            }
        }

        @Override
        public void onError(Throwable cause) {
            end();
        }

        @Override
        public void onCompleted() {
            fail(Status.OK);
        }

        private void create(EtcdProto.WatchCreateRequest request) {
            Optional<Status> refused = refusal();
            if (refused.isPresent()) {
                fail(refused.get());
                return;
            }
            long watchId = ++lastWatchId;
            send(response(watchId).setCreated(true));
            Runnable unsubscribe =
                    state.watch(
                            request.getKey().toStringUtf8(),
                            rangeEnd(request.getKey(), request.getRangeEnd()),
                            request.getStartRevision(),
                            listener(watchId));
            synchronized (this) {
                if (!ended) {
                    unsubscribes.put(watchId, unsubscribe);
                    return;
                }
            }
            unsubscribe.run();
        }

        private ChangeListener listener(long watchId) {
            return new ChangeListener() {
                @Override
                public void onChanges(List<StoreChange> changes) {
                    EtcdProto.WatchResponse.Builder response = response(watchId);
                    changes.stream().map(EtcdMessages::event).forEach(response::addEvents);
                    send(response);
                }

                @Override
                public void onCompacted(long compactRevision) {
                    send(
                            response(watchId)
                                    .setCanceled(true)
                                    .setCompactRevision(compactRevision)
                                    .setCancelReason("etcdserver: mvcc: required revision"));
                }
            };
        }

        private void cancel(long watchId) {
            Runnable unsubscribe;
            synchronized (this) {
                unsubscribe = unsubscribes.remove(watchId);
            }
            if (unsubscribe != null) {
                unsubscribe.run();
                send(response(watchId).setCanceled(true));
            }
        }

        private EtcdProto.WatchResponse.Builder response(long watchId) {
            return EtcdProto.WatchResponse.newBuilder()
                    .setHeader(header(state.revision()))
                    .setWatchId(watchId);
        }

        private synchronized void send(EtcdProto.WatchResponse.Builder response) {
            if (!ended) {
                observer.onNext(response.build());
            }
        }

        private void fail(Status status) {
            synchronized (this) {
                if (ended) {
                    return;
                }
                if (status.isOk()) {
                    observer.onCompleted();
                } else {
                    observer.onError(status.asRuntimeException());
                }
            }
            end();
        }

        private void end() {
            List<Runnable> running;
            synchronized (this) {
                ended = true;
                running = List.copyOf(unsubscribes.values());
                unsubscribes.clear();
            }
            streams.remove(this);
            running.forEach(Runnable::run);
        }
    }
}
