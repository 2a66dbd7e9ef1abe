package org.skylarkmast.standins.store;

import static org.skylarkmast.standins.store.EtcdMessages.header;
import static org.skylarkmast.standins.store.EtcdMessages.rangeEnd;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.Optional;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.Write;
import org.skylarkmast.rpc.etcd.EtcdProto;
import org.skylarkmast.rpc.etcd.KVGrpc;

/**
 * etcd's KV service over a {@link StoreState}; reads of old revisions and nested txns are not
 * offered.
 */
final class KvService extends KVGrpc.KVImplBase {
    private final StoreState state;
    private final UnaryCall calls;

    KvService(StoreState state, UnaryCall calls) {
        this.state = state;
        this.calls = calls;
    }

    @Override
    public void range(
            EtcdProto.RangeRequest request, StreamObserver<EtcdProto.RangeResponse> observer) {
        calls.answer(
                CallGate.CallKind.RANGE,
                observer,
                () -> new UnaryCall.Answer.Ok<>(state.atomically(() -> read(request))));
    }

    @Override
    public void put(EtcdProto.PutRequest request, StreamObserver<EtcdProto.PutResponse> observer) {
        calls.answer(
                CallGate.CallKind.PUT,
                observer,
                () ->
                        answer(
                                List.of(toWrite(request)),
                                revision ->
                                        EtcdProto.PutResponse.newBuilder()
                                                .setHeader(header(revision))
                                                .build()));
    }

    @Override
    public void deleteRange(
            EtcdProto.DeleteRangeRequest request,
            StreamObserver<EtcdProto.DeleteRangeResponse> observer) {
        calls.answer(
                CallGate.CallKind.DELETE,
                observer,
                () -> new UnaryCall.Answer.Ok<>(state.atomically(() -> delete(request))));
    }

    @Override
    public void txn(EtcdProto.TxnRequest request, StreamObserver<EtcdProto.TxnResponse> observer) {
        calls.answer(
                CallGate.CallKind.TXN, observer, () -> state.atomically(() -> decide(request)));
    }

    private EtcdProto.RangeResponse read(EtcdProto.RangeRequest request) {
        List<Stored> found =
                state.range(
                        request.getKey().toStringUtf8(),
                        rangeEnd(request.getKey(), request.getRangeEnd()));
        EtcdProto.RangeResponse.Builder response =
                EtcdProto.RangeResponse.newBuilder()
                        .setHeader(header(state.revision()))
                        .setCount(found.size());
        if (request.getCountOnly()) {
            return response.build();
        }
        int limit = request.getLimit() == 0 ? found.size() : (int) request.getLimit();
        found.stream().limit(limit).map(EtcdMessages::keyValue).forEach(response::addKvs);
        return response.setMore(found.size() > limit).build();
    }

    private EtcdProto.DeleteRangeResponse delete(EtcdProto.DeleteRangeRequest request) {
        Write.DeleteRange write = toWrite(request);
        int deleted = state.range(write.fromKey(), write.toKey()).size();
        state.apply(List.of(write));
        return EtcdProto.DeleteRangeResponse.newBuilder()
                .setHeader(header(state.revision()))
                .setDeleted(deleted)
                .build();
    }

    private UnaryCall.Answer<EtcdProto.TxnResponse> decide(EtcdProto.TxnRequest request) {
        Optional<String> malformed = malformed(request);
        if (malformed.isPresent()) {
            return new UnaryCall.Answer.Refused<>(
                    Status.INVALID_ARGUMENT.withDescription("etcdserver: " + malformed.get()));
        }
        boolean holds = request.getCompareList().stream().allMatch(this::holds);
        List<EtcdProto.RequestOp> operations =
                holds ? request.getSuccessList() : request.getFailureList();
        List<Write> writes = operations.stream().flatMap(op -> toWrite(op).stream()).toList();
        return answer(
                writes,
                revision -> {
                    EtcdProto.TxnResponse.Builder response =
                            EtcdProto.TxnResponse.newBuilder()
                                    .setHeader(header(revision))
                                    .setSucceeded(holds);
                    operations.forEach(op -> response.addResponses(toResponse(op, revision)));
                    return response.build();
                });
    }

    private static Optional<String> malformed(EtcdProto.TxnRequest request) {
        if (request.getCompareCount() > Txn.MAX_OPERATIONS
                || request.getSuccessCount() > Txn.MAX_OPERATIONS
                || request.getFailureCount() > Txn.MAX_OPERATIONS) {
            return Optional.of("too many operations in txn request");
        }
        boolean nested =
                request.getSuccessList().stream().anyMatch(EtcdProto.RequestOp::hasRequestTxn)
                        || request.getFailureList().stream()
                                .anyMatch(EtcdProto.RequestOp::hasRequestTxn);
        return nested ? Optional.of("nested txn is not offered") : Optional.empty();
    }

    private <T> UnaryCall.Answer<T> answer(
            List<Write> writes, java.util.function.LongFunction<T> response) {
        return switch (state.apply(writes)) {
            case ApplyOutcome.Applied applied ->
                    new UnaryCall.Answer.Ok<>(response.apply(applied.revision()));
            case ApplyOutcome.LeaseNotFound notFound ->
                    new UnaryCall.Answer.Refused<>(
                            Status.NOT_FOUND.withDescription(
                                    "etcdserver: requested lease not found"));
            case ApplyOutcome.DuplicateKey duplicate ->
                    new UnaryCall.Answer.Refused<>(
                            Status.INVALID_ARGUMENT.withDescription(
                                    "etcdserver: duplicate key given in txn request"));
        };
    }

    private EtcdProto.ResponseOp toResponse(EtcdProto.RequestOp operation, long revision) {
        EtcdProto.ResponseOp.Builder response = EtcdProto.ResponseOp.newBuilder();
        return switch (operation.getRequestCase()) {
            case REQUEST_RANGE ->
                    response.setResponseRange(read(operation.getRequestRange())).build();
            case REQUEST_PUT ->
                    response.setResponsePut(
                                    EtcdProto.PutResponse.newBuilder().setHeader(header(revision)))
                            .build();
            case REQUEST_DELETE_RANGE ->
                    response.setResponseDeleteRange(
                                    EtcdProto.DeleteRangeResponse.newBuilder()
                                            .setHeader(header(revision)))
                            .build();
            case REQUEST_TXN, REQUEST_NOT_SET -> response.build();
        };
    }

    private static Optional<Write> toWrite(EtcdProto.RequestOp operation) {
        return switch (operation.getRequestCase()) {
            case REQUEST_PUT -> Optional.of(toWrite(operation.getRequestPut()));
            case REQUEST_DELETE_RANGE -> Optional.of(toWrite(operation.getRequestDeleteRange()));
            case REQUEST_RANGE, REQUEST_TXN, REQUEST_NOT_SET -> Optional.empty();
        };
    }

    private static Write.Put toWrite(EtcdProto.PutRequest put) {
        return new Write.Put(
                put.getKey().toStringUtf8(), put.getValue().toByteArray(), put.getLease());
    }

    private static Write.DeleteRange toWrite(EtcdProto.DeleteRangeRequest delete) {
        return new Write.DeleteRange(
                delete.getKey().toStringUtf8(), rangeEnd(delete.getKey(), delete.getRangeEnd()));
    }

    private boolean holds(EtcdProto.Compare compare) {
        Optional<Stored> stored = state.get(compare.getKey().toStringUtf8());
        int order = order(compare, stored);
        return switch (compare.getResult()) {
            case EQUAL -> order == 0;
            case GREATER -> order > 0;
            case LESS -> order < 0;
            case NOT_EQUAL -> order != 0;
            case UNRECOGNIZED -> false;
        };
    }

    private static int order(EtcdProto.Compare compare, Optional<Stored> stored) {
        return switch (compare.getTarget()) {
            case VERSION ->
                    Long.compare(stored.map(Stored::version).orElse(0L), compare.getVersion());
            case CREATE ->
                    Long.compare(
                            stored.map(held -> held.entry().createRevision()).orElse(0L),
                            compare.getCreateRevision());
            case MOD ->
                    Long.compare(
                            stored.map(held -> held.entry().modRevision()).orElse(0L),
                            compare.getModRevision());
            case LEASE ->
                    Long.compare(
                            stored.map(held -> held.entry().leaseId()).orElse(0L),
                            compare.getLease());
            case VALUE ->
                    ByteString.unsignedLexicographicalComparator()
                            .compare(
                                    stored.map(held -> ByteString.copyFrom(held.entry().value()))
                                            .orElse(ByteString.EMPTY),
                                    compare.getValue());
            case UNRECOGNIZED -> -1;
        };
    }
}
