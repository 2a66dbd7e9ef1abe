package org.skylarkmast.daemon.ownership;

import java.util.function.Consumer;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.LeaseState;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.skylarkmast.core.store.Watch;
import org.skylarkmast.core.store.WatchEvent;
import org.skylarkmast.daemon.sim.Simulation;

/** A store whose lease renewals take effect immediately and are answered after a delay. */
record SlowRenewalStore(KeyValueStore store, Simulation simulation, long answerDelayMs)
        implements KeyValueStore {

    @Override
    public StoreOutcome<LeaseState> renewLease(long leaseId) {
        StoreOutcome<LeaseState> outcome = store.renewLease(leaseId);
        simulation.runMs(answerDelayMs);
        return outcome;
    }

    @Override
    public StoreOutcome<RangeResult> range(String fromKey, String toKey, int limit) {
        return store.range(fromKey, toKey, limit);
    }

    @Override
    public StoreOutcome<TxnResult> commit(Txn txn) {
        return store.commit(txn);
    }

    @Override
    public StoreOutcome<LeaseState> grantLease(long ttlMs) {
        return store.grantLease(ttlMs);
    }

    @Override
    public StoreOutcome<LeaseState> revokeLease(long leaseId) {
        return store.revokeLease(leaseId);
    }

    @Override
    public Watch watch(
            String fromKey, String toKey, long fromRevision, Consumer<WatchEvent> listener) {
        return store.watch(fromKey, toKey, fromRevision, listener);
    }

    @Override
    public void close() {}
}
