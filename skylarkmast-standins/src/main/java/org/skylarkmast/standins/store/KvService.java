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
 * The KV service of etcd on a {@link StoreState}. Reads at old revisions and nested transactions
 * are not supported.
 */
final class KvService extends KVGrpc.KVImplBase {
    private final StoreState state;
    private final UnaryCallHandler calls;

    KvService(StoreState state, UnaryCallHandler calls) {
        this.state = state;
        this.calls = calls;
    }

    @Override
    public void range(
            EtcdProto.RangeRequest request, StreamObserver<EtcdProto.RangeResponse> observer) {
        calls.answer(
                FaultInjector.CallKind.RANGE,
                observer,
                () -> new UnaryCallHandler.Answer.Ok<>(state.atomically(() -> read(request))));
    }

    @Override
    public void put(EtcdProto.PutRequest request, StreamObserver<EtcdProto.PutResponse> observer) {
        calls.answer(
                FaultInjector.CallKind.PUT,
                observer,
                () ->
                        applyAndAnswer(
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
                FaultInjector.CallKind.DELETE,
                observer,
                () -> new UnaryCallHandler.Answer.Ok<>(state.atomically(() -> delete(request))));
    }

    @Override
    public void txn(EtcdProto.TxnRequest request, StreamObserver<EtcdProto.TxnResponse> observer) {
        calls.answer(
                FaultInjector.CallKind.TXN,
                observer,
                () -> state.atomically(() -> executeTxn(request)));
    }

    private EtcdProto.RangeResponse read(EtcdProto.RangeRequest request) {
        List<VersionedEntry> found =
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

    private UnaryCallHandler.Answer<EtcdProto.TxnResponse> executeTxn(
            EtcdProto.TxnRequest request) {
        Optional<String> validationError = validationError(request);
        if (validationError.isPresent()) {
            return new UnaryCallHandler.Answer.Refused<>(
                    Status.INVALID_ARGUMENT.withDescription(
                            "etcdserver: " + validationError.get()));
        }
        boolean satisfied = request.getCompareList().stream().allMatch(this::isSatisfied);
        List<EtcdProto.RequestOp> operations =
                satisfied ? request.getSuccessList() : request.getFailureList();
        List<Write> writes = operations.stream().flatMap(op -> toWrite(op).stream()).toList();
        return applyAndAnswer(
                writes,
                revision -> {
                    EtcdProto.TxnResponse.Builder response =
                            EtcdProto.TxnResponse.newBuilder()
                                    .setHeader(header(revision))
                                    .setSucceeded(satisfied);
                    operations.forEach(op -> response.addResponses(toResponse(op, revision)));
                    return response.build();
                });
    }

    private static Optional<String> validationError(EtcdProto.TxnRequest request) {
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

    private <T> UnaryCallHandler.Answer<T> applyAndAnswer(
            List<Write> writes, java.util.function.LongFunction<T> response) {
        return switch (state.apply(writes)) {
            case ApplyOutcome.Applied applied ->
                    new UnaryCallHandler.Answer.Ok<>(response.apply(applied.revision()));
            case ApplyOutcome.LeaseNotFound notFound ->
                    new UnaryCallHandler.Answer.Refused<>(
                            Status.NOT_FOUND.withDescription(
                                    "etcdserver: requested lease not found"));
            case ApplyOutcome.DuplicateKey duplicate ->
                    new UnaryCallHandler.Answer.Refused<>(
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

    private boolean isSatisfied(EtcdProto.Compare compare) {
        Optional<VersionedEntry> stored = state.get(compare.getKey().toStringUtf8());
        int comparison = compareWithStored(compare, stored);
        return switch (compare.getResult()) {
            case EQUAL -> comparison == 0;
            case GREATER -> comparison > 0;
            case LESS -> comparison < 0;
            case NOT_EQUAL -> comparison != 0;
            case UNRECOGNIZED -> false;
        };
    }

    private static int compareWithStored(
            EtcdProto.Compare compare, Optional<VersionedEntry> stored) {
        return switch (compare.getTarget()) {
            case VERSION ->
                    Long.compare(
                            stored.map(VersionedEntry::version).orElse(0L), compare.getVersion());
            case CREATE ->
                    Long.compare(
                            stored.map(versioned -> versioned.entry().createRevision()).orElse(0L),
                            compare.getCreateRevision());
            case MOD ->
                    Long.compare(
                            stored.map(versioned -> versioned.entry().modRevision()).orElse(0L),
                            compare.getModRevision());
            case LEASE ->
                    Long.compare(
                            stored.map(versioned -> versioned.entry().leaseId()).orElse(0L),
                            compare.getLease());
            case VALUE ->
                    ByteString.unsignedLexicographicalComparator()
                            .compare(
                                    stored.map(
                                                    versioned ->
                                                            ByteString.copyFrom(
                                                                    versioned.entry().value()))
                                            .orElse(ByteString.EMPTY),
                                    compare.getValue());
            case UNRECOGNIZED -> -1;
        };
    }
}
