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

/** A key-value service in memory whose faults are set by fields. */
final class FakeStore implements KeyValueStore {
    final TreeMap<String, StoreEntry> entries = new TreeMap<>();
    final List<Consumer<WatchEvent>> watchers = new ArrayList<>();
    int watchesOpened;
    int largestCommitBytes;
    long revision = 1;

    boolean down;
    boolean watchesSilent;
    boolean loseWatchAtOnce;

    /** Commits that take effect and whose answer is lost. */
    int loseAnswers;

    /** Commits that are lost before they take effect. */
    int loseRequests;

    /** Told of every write of the head, whatever becomes of its answer. */
    Consumer<StoreEntry> headWritten = entry -> {};

    /** Runs once, before the next commit is decided. */
    Runnable beforeCommit = () -> {};

    @Override
    public synchronized StoreOutcome<RangeResult> range(String fromKey, String toKey, int limit) {
        if (down) {
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
            if (down) {
                return new StoreOutcome.NotApplied<>("down");
            }
            if (loseRequests > 0) {
                loseRequests--;
                return new StoreOutcome.Unknown<>("request lost");
            }
            boolean succeeded = txn.conditions().stream().allMatch(this::holds);
            if (succeeded) {
                apply(txn);
            }
            if (loseAnswers > 0) {
                loseAnswers--;
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
                        tellOfHead(entry);
                    }
                }
                case Write.Delete delete -> entries.remove(delete.key());
                case Write.DeleteRange range ->
                        entries.subMap(range.fromKey(), range.toKey()).clear();
            }
        }
        largestCommitBytes = Math.max(largestCommitBytes, bytes);
    }

    private void tellOfHead(StoreEntry entry) {
        headWritten.accept(entry);
        if (!watchesSilent) {
            List.copyOf(watchers).forEach(w -> w.accept(new WatchEvent.Written(entry)));
        }
    }

    @Override
    public synchronized Watch watch(
            String fromKey, String toKey, long fromRevision, Consumer<WatchEvent> listener) {
        watchesOpened++;
        if (loseWatchAtOnce) {
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
