package org.skylarkmast.daemon.store;

import static org.skylarkmast.daemon.store.EtcdMessages.bytes;

import io.grpc.Status;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.LeaseState;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.skylarkmast.core.store.Watch;
import org.skylarkmast.core.store.WatchEvent;
import org.skylarkmast.rpc.etcd.EtcdProto;
import org.skylarkmast.rpc.etcd.KVGrpc;
import org.skylarkmast.rpc.etcd.LeaseGrpc;

/**
 * Client of the key-value service over etcd's gRPC API; thread-safe.
 *
 * <p>Reads are linearizable. A failed read is {@link StoreOutcome.NotApplied}. A failed write is
 * {@link StoreOutcome.NotApplied} only if its request never reached a connection, or if the service
 * itself answered with a status that it returns only before it applies a write; any other failure
 * is {@link StoreOutcome.Unknown}. A write whose outcome is unknown may still take effect after a
 * later read that does not show it. Only a change to a key in its conditions, such as the removal
 * of its session's key, rules that out.
 *
 * <p>No call takes longer than the timeout. Only watches are retried.
 */
public final class EtcdStore implements KeyValueStore {
    private static final long MS_PER_SECOND = 1_000;

    private final long callTimeoutMs;
    private final EtcdChannel channel;
    private final ScheduledExecutorService scheduler;
    private final Set<EtcdWatch> watches = ConcurrentHashMap.newKeySet();

    /**
     * Creates a client, which connects at the first call.
     *
     * @param endpoints IP addresses with port; the first reachable one is used
     * @param callTimeoutMs timeout of a call, above 0
     */
    public EtcdStore(List<String> endpoints, long callTimeoutMs) {
        if (endpoints.isEmpty() || callTimeoutMs <= 0) {
            throw new IllegalArgumentException(
                    "expected at least one endpoint and a positive call timeout");
        }
        this.callTimeoutMs = callTimeoutMs;
        this.channel = new EtcdChannel(endpoints, callTimeoutMs);
        this.scheduler =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().daemon().name("etcd-watch-timer").factory());
    }

    @Override
    public StoreOutcome<RangeResult> range(String fromKey, String toKey, int limit) {
        EtcdProto.RangeRequest request =
                EtcdProto.RangeRequest.newBuilder()
                        .setKey(bytes(fromKey))
                        .setRangeEnd(bytes(toKey))
                        .setLimit(limit)
                        .build();
        return switch (channel.call(KVGrpc.getRangeMethod(), request)) {
            case CallResult.Answered<EtcdProto.RangeResponse>(EtcdProto.RangeResponse response) ->
                    new StoreOutcome.Done<>(
                            new RangeResult(
                                    entries(response),
                                    response.getHeader().getRevision(),
                                    response.getMore()));
            case CallResult.Failed<EtcdProto.RangeResponse> failed ->
                    new StoreOutcome.NotApplied<>(failed.reason());
        };
    }

    @Override
    public StoreOutcome<TxnResult> commit(Txn txn) {
        return switch (channel.call(KVGrpc.getTxnMethod(), EtcdMessages.toRequest(txn))) {
            case CallResult.Answered<EtcdProto.TxnResponse>(EtcdProto.TxnResponse response) ->
                    new StoreOutcome.Done<>(toResult(response));
            case CallResult.Failed<EtcdProto.TxnResponse> failed -> failedWrite(failed);
        };
    }

    @Override
    public StoreOutcome<LeaseState> grantLease(long ttlMs) {
        EtcdProto.LeaseGrantRequest request =
                EtcdProto.LeaseGrantRequest.newBuilder()
                        .setTTL(Math.ceilDiv(ttlMs, MS_PER_SECOND))
                        .build();
        return switch (channel.call(LeaseGrpc.getLeaseGrantMethod(), request)) {
            case CallResult.Answered<EtcdProto.LeaseGrantResponse>(
                            EtcdProto.LeaseGrantResponse response) ->
                    new StoreOutcome.Done<>(alive(response.getID(), response.getTTL()));
            case CallResult.Failed<EtcdProto.LeaseGrantResponse> failed -> failedWrite(failed);
        };
    }

    @Override
    public StoreOutcome<LeaseState> renewLease(long leaseId) {
        EtcdProto.LeaseKeepAliveRequest request =
                EtcdProto.LeaseKeepAliveRequest.newBuilder().setID(leaseId).build();
        return switch (channel.call(LeaseGrpc.getLeaseKeepAliveMethod(), request)) {
            case CallResult.Answered<EtcdProto.LeaseKeepAliveResponse>(
                            EtcdProto.LeaseKeepAliveResponse response) ->
                    new StoreOutcome.Done<>(
                            response.getTTL() > 0
                                    ? alive(leaseId, response.getTTL())
                                    : new LeaseState.Expired(leaseId));
            case CallResult.Failed<EtcdProto.LeaseKeepAliveResponse> failed ->
                    failedLeaseCall(leaseId, failed);
        };
    }

    @Override
    public StoreOutcome<LeaseState> revokeLease(long leaseId) {
        EtcdProto.LeaseRevokeRequest request =
                EtcdProto.LeaseRevokeRequest.newBuilder().setID(leaseId).build();
        return switch (channel.call(LeaseGrpc.getLeaseRevokeMethod(), request)) {
            case CallResult.Answered<EtcdProto.LeaseRevokeResponse> answered ->
                    new StoreOutcome.Done<>(new LeaseState.Expired(leaseId));
            case CallResult.Failed<EtcdProto.LeaseRevokeResponse> failed ->
                    failedLeaseCall(leaseId, failed);
        };
    }

    @Override
    public Watch watch(
            String fromKey, String toKey, long fromRevision, Consumer<WatchEvent> listener) {
        EtcdWatch watch =
                new EtcdWatch(
                        channel,
                        scheduler,
                        callTimeoutMs,
                        new EtcdWatch.KeyRange(fromKey, toKey),
                        fromRevision,
                        listener,
                        watches::remove);
        watches.add(watch);
        watch.open();
        return watch;
    }

    @Override
    public void close() {
        List.copyOf(watches).forEach(EtcdWatch::close);
        scheduler.shutdownNow();
        channel.close();
    }

    private static List<StoreEntry> entries(EtcdProto.RangeResponse response) {
        return response.getKvsList().stream().map(EtcdMessages::toEntry).toList();
    }

    private static TxnResult toResult(EtcdProto.TxnResponse response) {
        List<StoreEntry> read =
                response.getResponsesList().stream()
                        .filter(EtcdProto.ResponseOp::hasResponseRange)
                        .flatMap(operation -> entries(operation.getResponseRange()).stream())
                        .toList();
        return new TxnResult(
                response.getSucceeded(),
                response.getHeader().getRevision(),
                response.getSucceeded() ? List.of() : read);
    }

    private static LeaseState alive(long leaseId, long ttlSeconds) {
        return new LeaseState.Alive(leaseId, TimeUnit.SECONDS.toMillis(ttlSeconds));
    }

    private static StoreOutcome<LeaseState> failedLeaseCall(
            long leaseId, CallResult.Failed<?> failed) {
        if (failed.fromServer() && failed.status().getCode() == Status.Code.NOT_FOUND) {
            return new StoreOutcome.Done<>(new LeaseState.Expired(leaseId));
        }
        return failedWrite(failed);
    }

    private static <T> StoreOutcome<T> failedWrite(CallResult.Failed<?> failed) {
        return failed.provesNoEffect()
                ? new StoreOutcome.NotApplied<>(failed.reason())
                : new StoreOutcome.Unknown<>(failed.reason());
    }
}
