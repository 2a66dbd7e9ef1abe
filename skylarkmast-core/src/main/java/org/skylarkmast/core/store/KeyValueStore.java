package org.skylarkmast.core.store;

import java.util.function.Consumer;

/**
 * The platform's key-value service.
 *
 * <p>Calls block, so they run on virtual threads. Every call counts once against the service's rate
 * limit, whatever it holds; so does a waiting watch. Implementations are thread-safe.
 */
public interface KeyValueStore extends AutoCloseable {

    /**
     * Reads keys in key order from {@code fromKey} (inclusive) to {@code toKey} (exclusive).
     *
     * @param limit most entries to return, or 0 for all
     */
    StoreOutcome<RangeResult> range(String fromKey, String toKey, int limit);

    /** Decides {@code txn} atomically. */
    StoreOutcome<TxnResult> commit(Txn txn);

    /** Grants a lease that lives {@code ttlMs}, rounded up to whole seconds. */
    StoreOutcome<LeaseState> grantLease(long ttlMs);

    /** Renews {@code leaseId}. */
    StoreOutcome<LeaseState> renewLease(long leaseId);

    /** Ends {@code leaseId} and removes its keys. */
    StoreOutcome<LeaseState> revokeLease(long leaseId);

    /**
     * Reports writes of keys in the range made at or after {@code fromRevision}, in order.
     *
     * <p>After {@link WatchEvent.Lost} nothing more is reported. {@code listener} is called from
     * one thread at a time and must not block for long.
     */
    Watch watch(String fromKey, String toKey, long fromRevision, Consumer<WatchEvent> listener);

    @Override
    void close();

    /** Reads all keys that start with {@code prefix}. */
    default StoreOutcome<RangeResult> readPrefix(String prefix) {
        return range(prefix, StoreKeys.endOfPrefix(prefix), 0);
    }

    /** Reads one key; the result holds one entry or none. */
    default StoreOutcome<RangeResult> read(String key) {
        return range(key, key + '\0', 1);
    }
}
