package org.skylarkmast.daemon.telemetry;

import java.util.function.Consumer;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.LeaseState;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.skylarkmast.core.store.Watch;
import org.skylarkmast.core.store.WatchEvent;

/** A key-value store decorator that counts operations by kind and outcome; thread-safe. */
public final class MeteredStore implements KeyValueStore {
    private final KeyValueStore store;
    private final DaemonMetrics metrics;

    /**
     * Creates a decorator.
     *
     * @param store store that executes the operations
     * @param metrics metrics that count them
     */
    public MeteredStore(KeyValueStore store, DaemonMetrics metrics) {
        this.store = store;
        this.metrics = metrics;
    }

    @Override
    public StoreOutcome<RangeResult> range(String fromKey, String toKey, int limit) {
        return counted("range", store.range(fromKey, toKey, limit));
    }

    @Override
    public StoreOutcome<TxnResult> commit(Txn txn) {
        return counted("commit", store.commit(txn));
    }

    @Override
    public StoreOutcome<LeaseState> grantLease(long ttlMs) {
        return counted("grant_lease", store.grantLease(ttlMs));
    }

    @Override
    public StoreOutcome<LeaseState> renewLease(long leaseId) {
        return counted("renew_lease", store.renewLease(leaseId));
    }

    @Override
    public StoreOutcome<LeaseState> revokeLease(long leaseId) {
        return counted("revoke_lease", store.revokeLease(leaseId));
    }

    @Override
    public Watch watch(
            String fromKey, String toKey, long fromRevision, Consumer<WatchEvent> listener) {
        metrics.recordStoreCall("watch", "done");
        return store.watch(fromKey, toKey, fromRevision, listener);
    }

    @Override
    public void close() {
        store.close();
    }

    private <T> StoreOutcome<T> counted(String kind, StoreOutcome<T> outcome) {
        String label =
                switch (outcome) {
                    case StoreOutcome.Done<T> done -> "done";
                    case StoreOutcome.NotApplied<T> notApplied -> "not_applied";
                    case StoreOutcome.Unknown<T> unknown -> "unknown";
                };
        metrics.recordStoreCall(kind, label);
        return outcome;
    }
}
