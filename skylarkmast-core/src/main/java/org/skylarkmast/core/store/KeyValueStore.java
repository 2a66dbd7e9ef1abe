package org.skylarkmast.core.store;

import java.util.function.Consumer;

/**
 * Client of the platform's key-value service.
 *
 * <p>Calls block, so they run on virtual threads. Every call counts once against the service's rate
 * limit, regardless of its size; so does an open watch. Implementations are thread-safe.
 */
public interface KeyValueStore extends AutoCloseable {

    /**
     * Reads keys in key order from {@code fromKey} (inclusive) to {@code toKey} (exclusive).
     *
     * @param limit maximum number of entries to return, or 0 for all
     */
    StoreOutcome<RangeResult> range(String fromKey, String toKey, int limit);

    /** Executes {@code txn} atomically. */
    StoreOutcome<TxnResult> commit(Txn txn);

    /** Grants a lease with a time to live of {@code ttlMs}, rounded up to whole seconds. */
    StoreOutcome<LeaseState> grantLease(long ttlMs);

    /** Renews {@code leaseId}. */
    StoreOutcome<LeaseState> renewLease(long leaseId);

    /** Revokes {@code leaseId} and removes the keys bound to it. */
    StoreOutcome<LeaseState> revokeLease(long leaseId);

    /**
     * Reports writes of keys in the range made at or after {@code fromRevision}, in order.
     *
     * <p>No events follow {@link WatchEvent.Lost}. {@code listener} is called from one thread at a
     * time and must not block for long.
     */
    Watch watch(String fromKey, String toKey, long fromRevision, Consumer<WatchEvent> listener);

    @Override
    void close();

    /** Reads all keys that start with {@code prefix}. */
    default StoreOutcome<RangeResult> readPrefix(String prefix) {
        return range(prefix, StoreKeys.endOfPrefix(prefix), 0);
    }

    /** Reads one key; the result contains one entry, or none if the key does not exist. */
    default StoreOutcome<RangeResult> read(String key) {
        return range(key, key + '\0', 1);
    }
}
