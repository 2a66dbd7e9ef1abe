package org.skylarkmast.daemon.store;

import com.google.protobuf.ByteString;
import org.skylarkmast.core.store.Condition;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.Write;
import org.skylarkmast.rpc.etcd.EtcdProto;
import org.skylarkmast.rpc.etcd.MvccProto;

/** Converts transactions to etcd's messages, and etcd's key-value pairs to entries. */
final class EtcdMessages {

    private EtcdMessages() {}

    static EtcdProto.TxnRequest toRequest(Txn txn) {
        EtcdProto.TxnRequest.Builder request = EtcdProto.TxnRequest.newBuilder();
        txn.conditions().forEach(condition -> request.addCompare(toCompare(condition)));
        txn.writes().forEach(write -> request.addSuccess(toOperation(write)));
        for (String key : txn.readOnFailure()) {
            request.addFailure(
                    EtcdProto.RequestOp.newBuilder()
                            .setRequestRange(
                                    EtcdProto.RangeRequest.newBuilder().setKey(bytes(key))));
        }
        return request.build();
    }

    static StoreEntry toEntry(MvccProto.KeyValue keyValue) {
        return new StoreEntry(
                keyValue.getKey().toStringUtf8(),
                keyValue.getValue().toByteArray(),
                keyValue.getCreateRevision(),
                keyValue.getModRevision(),
                keyValue.getLease());
    }

    static ByteString bytes(String key) {
        return ByteString.copyFromUtf8(key);
    }

    private static EtcdProto.Compare toCompare(Condition condition) {
        EtcdProto.Compare.Builder compare =
                EtcdProto.Compare.newBuilder().setKey(bytes(condition.key()));
        return switch (condition) {
            case Condition.KeyAbsent absent ->
                    compare.setTarget(EtcdProto.Compare.CompareTarget.CREATE)
                            .setResult(EtcdProto.Compare.CompareResult.EQUAL)
                            .setCreateRevision(0)
                            .build();
            case Condition.KeyPresent present ->
                    compare.setTarget(EtcdProto.Compare.CompareTarget.CREATE)
                            .setResult(EtcdProto.Compare.CompareResult.GREATER)
                            .setCreateRevision(0)
                            .build();
            case Condition.ModRevisionIs is ->
                    compare.setTarget(EtcdProto.Compare.CompareTarget.MOD)
                            .setResult(EtcdProto.Compare.CompareResult.EQUAL)
                            .setModRevision(is.modRevision())
                            .build();
        };
    }

    private static EtcdProto.RequestOp toOperation(Write write) {
        EtcdProto.RequestOp.Builder operation = EtcdProto.RequestOp.newBuilder();
        return switch (write) {
            case Write.Put put ->
                    operation
                            .setRequestPut(
                                    EtcdProto.PutRequest.newBuilder()
                                            .setKey(bytes(put.key()))
                                            .setValue(ByteString.copyFrom(put.value()))
                                            .setLease(put.leaseId()))
                            .build();
            case Write.Delete delete ->
                    operation
                            .setRequestDeleteRange(
                                    EtcdProto.DeleteRangeRequest.newBuilder()
                                            .setKey(bytes(delete.key())))
                            .build();
            case Write.DeleteRange range ->
                    operation
                            .setRequestDeleteRange(
                                    EtcdProto.DeleteRangeRequest.newBuilder()
                                            .setKey(bytes(range.fromKey()))
                                            .setRangeEnd(bytes(range.toKey())))
                            .build();
        };
    }
}
