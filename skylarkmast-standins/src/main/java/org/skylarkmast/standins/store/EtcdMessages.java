package org.skylarkmast.standins.store;

import com.google.protobuf.ByteString;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.rpc.etcd.EtcdProto;
import org.skylarkmast.rpc.etcd.MvccProto;

/** Converts entries and changes of the store to the messages of etcd. */
final class EtcdMessages {
    private static final long MEMBER_ID = 1;

    private EtcdMessages() {}

    static EtcdProto.ResponseHeader header(long revision) {
        return EtcdProto.ResponseHeader.newBuilder()
                .setClusterId(MEMBER_ID)
                .setMemberId(MEMBER_ID)
                .setRevision(revision)
                .build();
    }

    static MvccProto.KeyValue keyValue(VersionedEntry stored) {
        StoreEntry entry = stored.entry();
        return MvccProto.KeyValue.newBuilder()
                .setKey(ByteString.copyFromUtf8(entry.key()))
                .setValue(ByteString.copyFrom(entry.value()))
                .setCreateRevision(entry.createRevision())
                .setModRevision(entry.modRevision())
                .setVersion(stored.version())
                .setLease(entry.leaseId())
                .build();
    }

    static MvccProto.Event event(StoreChange change) {
        if (change.stored().isPresent()) {
            return MvccProto.Event.newBuilder()
                    .setType(MvccProto.Event.EventType.PUT)
                    .setKv(keyValue(change.stored().get()))
                    .build();
        }
        return MvccProto.Event.newBuilder()
                .setType(MvccProto.Event.EventType.DELETE)
                .setKv(
                        MvccProto.KeyValue.newBuilder()
                                .setKey(ByteString.copyFromUtf8(change.key()))
                                .setModRevision(change.revision()))
                .build();
    }

    /** Returns the exclusive end of a request's range; without one, the range is the key alone. */
    static String rangeEnd(ByteString key, ByteString rangeEnd) {
        return rangeEnd.isEmpty() ? key.toStringUtf8() + '\0' : rangeEnd.toStringUtf8();
    }
}
