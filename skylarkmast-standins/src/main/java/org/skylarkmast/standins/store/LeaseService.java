package org.skylarkmast.standins.store;

import static org.skylarkmast.standins.store.EtcdMessages.header;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.rpc.etcd.EtcdProto;
import org.skylarkmast.rpc.etcd.LeaseGrpc;

/** The Lease service of etcd on a {@link StoreState}, without LeaseTimeToLive. */
final class LeaseService extends LeaseGrpc.LeaseImplBase {
    private final StoreState state;
    private final UnaryCallHandler calls;

    LeaseService(StoreState state, UnaryCallHandler calls) {
        this.state = state;
        this.calls = calls;
    }

    @Override
    public void leaseGrant(
            EtcdProto.LeaseGrantRequest request,
            StreamObserver<EtcdProto.LeaseGrantResponse> observer) {
        calls.answer(FaultInjector.CallKind.LEASE_GRANT, observer, () -> grant(request));
    }

    @Override
    public void leaseRevoke(
            EtcdProto.LeaseRevokeRequest request,
            StreamObserver<EtcdProto.LeaseRevokeResponse> observer) {
        calls.answer(FaultInjector.CallKind.LEASE_REVOKE, observer, () -> revoke(request));
    }

    @Override
    public StreamObserver<EtcdProto.LeaseKeepAliveRequest> leaseKeepAlive(
            StreamObserver<EtcdProto.LeaseKeepAliveResponse> observer) {
        return new StreamObserver<>() {
            @Override
            public void onNext(EtcdProto.LeaseKeepAliveRequest request) {
                calls.answer(
                        FaultInjector.CallKind.LEASE_RENEW,
                        observer,
                        () -> new UnaryCallHandler.Answer.Ok<>(renew(request.getID())));
            }

            @Override
            public void onError(Throwable cause) {}

            @Override
            public void onCompleted() {}
        };
    }

    private UnaryCallHandler.Answer<EtcdProto.LeaseGrantResponse> grant(
            EtcdProto.LeaseGrantRequest request) {
        long ttlMs = TimeUnit.SECONDS.toMillis(request.getTTL());
        OptionalLong leaseId = state.grantLease(request.getID(), ttlMs);
        if (leaseId.isEmpty()) {
            return new UnaryCallHandler.Answer.Refused<>(
                    Status.FAILED_PRECONDITION.withDescription("etcdserver: lease already exists"));
        }
        return new UnaryCallHandler.Answer.Ok<>(
                EtcdProto.LeaseGrantResponse.newBuilder()
                        .setHeader(header(state.revision()))
                        .setID(leaseId.getAsLong())
                        .setTTL(request.getTTL())
                        .build());
    }

    private UnaryCallHandler.Answer<EtcdProto.LeaseRevokeResponse> revoke(
            EtcdProto.LeaseRevokeRequest request) {
        if (!state.revokeLease(request.getID())) {
            return new UnaryCallHandler.Answer.Refused<>(
                    Status.NOT_FOUND.withDescription("etcdserver: requested lease not found"));
        }
        return new UnaryCallHandler.Answer.Ok<>(
                EtcdProto.LeaseRevokeResponse.newBuilder()
                        .setHeader(header(state.revision()))
                        .build());
    }

    private EtcdProto.LeaseKeepAliveResponse renew(long leaseId) {
        OptionalLong ttlMs = state.renewLease(leaseId);
        return EtcdProto.LeaseKeepAliveResponse.newBuilder()
                .setHeader(header(state.revision()))
                .setID(leaseId)
                .setTTL(ttlMs.isPresent() ? TimeUnit.MILLISECONDS.toSeconds(ttlMs.getAsLong()) : 0)
                .build();
    }
}
