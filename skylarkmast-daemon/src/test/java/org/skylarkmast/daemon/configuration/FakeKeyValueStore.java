package org.skylarkmast.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.skylarkmast.core.store.Condition;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.LeaseState;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.skylarkmast.core.store.Watch;
import org.skylarkmast.core.store.WatchEvent;
import org.skylarkmast.core.store.Write;

/** An in-memory key-value service that simulates the faults set in its fields. */
final class FakeKeyValueStore implements KeyValueStore {
    final TreeMap<String, StoreEntry> entries = new TreeMap<>();
    final List<Consumer<WatchEvent>> watchers = new ArrayList<>();
    int watchesOpened;
    int largestCommitBytes;
    long revision = 1;

    boolean unavailable;
    boolean suppressWatchEvents;
    boolean failNewWatches;

    /** Number of upcoming commits that take effect, but whose answer is lost. */
    int answersToLose;

    /** Number of upcoming commits that are lost before they take effect. */
    int requestsToLose;

    /** Called on every write of the head, even if the answer is lost. */
    Consumer<StoreEntry> headWriteListener = entry -> {};

    /** Runs once, before the next commit is evaluated. */
    Runnable beforeCommit = () -> {};

    @Override
    public synchronized StoreOutcome<RangeResult> range(String fromKey, String toKey, int limit) {
        if (unavailable) {
            return new StoreOutcome.NotApplied<>("down");
        }
        List<StoreEntry> found = List.copyOf(entries.subMap(fromKey, toKey).values());
        return new StoreOutcome.Done<>(new RangeResult(found, revision, false));
    }

    @Override
    public StoreOutcome<TxnResult> commit(Txn txn) {
        Runnable hook = beforeCommit;
        beforeCommit = () -> {};
        hook.run();
        synchronized (this) {
            if (unavailable) {
                return new StoreOutcome.NotApplied<>("down");
            }
            if (requestsToLose > 0) {
                requestsToLose--;
                return new StoreOutcome.Unknown<>("request lost");
            }
            boolean succeeded = txn.conditions().stream().allMatch(this::holds);
            if (succeeded) {
                apply(txn);
            }
            if (answersToLose > 0) {
                answersToLose--;
                return new StoreOutcome.Unknown<>("answer lost");
            }
            return new StoreOutcome.Done<>(new TxnResult(succeeded, revision, List.of()));
        }
    }

    private boolean holds(Condition condition) {
        StoreEntry entry = entries.get(condition.key());
        return switch (condition) {
            case Condition.KeyAbsent absent -> entry == null;
            case Condition.KeyPresent present -> entry != null;
            case Condition.ModRevisionIs is ->
                    entry != null && entry.modRevision() == is.modRevision();
        };
    }

    private void apply(Txn txn) {
        revision++;
        int bytes = 0;
        for (Write write : txn.writes()) {
            switch (write) {
                case Write.Put put -> {
                    bytes += put.value().length;
                    StoreEntry entry = new StoreEntry(put.key(), put.value(), 0, revision, 0);
                    entries.put(put.key(), entry);
                    if (put.key().endsWith("head")) {
                        notifyHeadWritten(entry);
                    }
                }
                case Write.Delete delete -> entries.remove(delete.key());
                case Write.DeleteRange range ->
                        entries.subMap(range.fromKey(), range.toKey()).clear();
            }
        }
        largestCommitBytes = Math.max(largestCommitBytes, bytes);
    }

    private void notifyHeadWritten(StoreEntry entry) {
        headWriteListener.accept(entry);
        if (!suppressWatchEvents) {
            List.copyOf(watchers).forEach(watcher -> watcher.accept(new WatchEvent.Written(entry)));
        }
    }

    @Override
    public synchronized Watch watch(
            String fromKey, String toKey, long fromRevision, Consumer<WatchEvent> listener) {
        watchesOpened++;
        if (failNewWatches) {
            listener.accept(new WatchEvent.Lost("down"));
            return () -> {};
        }
        watchers.add(listener);
        return () -> watchers.remove(listener);
    }

    @Override
    public StoreOutcome<LeaseState> grantLease(long ttlMs) {
        throw new UnsupportedOperationException();
    }

    @Override
    public StoreOutcome<LeaseState> renewLease(long leaseId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public StoreOutcome<LeaseState> revokeLease(long leaseId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void close() {}
}
