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

/**
 * The Watch service of etcd on a {@link StoreState}. All changes of a revision are sent in one
 * message.
 */
final class WatchService extends WatchGrpc.WatchImplBase {
    private final StoreState state;
    private final FaultInjector faultInjector;
    private final Set<WatchStream> streams = ConcurrentHashMap.newKeySet();

    private volatile long rejectedUpToRevision;

    WatchService(StoreState state, FaultInjector faultInjector) {
        this.state = state;
        this.faultInjector = faultInjector;
    }

    /** Returns the number of active watches. */
    int activeWatchCount() {
        return streams.stream().mapToInt(WatchStream::watchCount).sum();
    }

    /** Fails all streams with UNAVAILABLE. */
    void failAllStreams() {
        streams.forEach(stream -> stream.fail(Status.UNAVAILABLE.withDescription("watch broken")));
    }

    /** Rejects new watches until {@code changes} more revisions exist, then compacts these. */
    void rejectUntilCompacted(int changes) {
        rejectedUpToRevision = state.revision() + changes;
    }

    private Optional<Status> checkAdmission() {
        Optional<Status> failure = faultInjector.admit(FaultInjector.CallKind.WATCH);
        if (failure.isPresent() || rejectedUpToRevision == 0) {
            return failure;
        }
        if (state.revision() < rejectedUpToRevision) {
            return Optional.of(Status.UNAVAILABLE.withDescription("watches are refused"));
        }
        state.compact(rejectedUpToRevision);
        rejectedUpToRevision = 0;
        return Optional.empty();
    }

    @Override
    public StreamObserver<EtcdProto.WatchRequest> watch(
            StreamObserver<EtcdProto.WatchResponse> observer) {
        WatchStream stream = new WatchStream(observer);
        streams.add(stream);
        ((ServerCallStreamObserver<EtcdProto.WatchResponse>) observer)
                .setOnCancelHandler(stream::end);
        return stream;
    }

    private final class WatchStream implements StreamObserver<EtcdProto.WatchRequest> {
        private final StreamObserver<EtcdProto.WatchResponse> observer;
        private final Map<Long, Runnable> unsubscribeActions = new HashMap<>();

        private long lastWatchId;
        private boolean ended;

        WatchStream(StreamObserver<EtcdProto.WatchResponse> observer) {
            this.observer = observer;
        }

        synchronized int watchCount() {
            return unsubscribeActions.size();
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
            Optional<Status> failure = checkAdmission();
            if (failure.isPresent()) {
                fail(failure.get());
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
                    unsubscribeActions.put(watchId, unsubscribe);
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
                unsubscribe = unsubscribeActions.remove(watchId);
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
            List<Runnable> remaining;
            synchronized (this) {
                ended = true;
                remaining = List.copyOf(unsubscribeActions.values());
                unsubscribeActions.clear();
            }
            streams.remove(this);
            remaining.forEach(Runnable::run);
        }
    }
}
