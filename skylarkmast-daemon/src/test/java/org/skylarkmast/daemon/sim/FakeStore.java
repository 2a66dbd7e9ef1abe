package org.skylarkmast.daemon.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
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

/** An in-memory key-value service on a simulation's clock, with a fault chosen per commit. */
public final class FakeStore implements KeyValueStore {
    private static final long NS_PER_MS = 1_000_000L;

    /** Fault injected into a transaction. */
    public enum Fault {
        NONE,
        /** It has no effect, and the caller receives an answer that says so. */
        REFUSE,
        /** It takes effect, but the answer is lost. */
        LOSE_ANSWER,
        /** It has no effect because the request is lost; the caller does not know. */
        LOSE_REQUEST,
        /** It takes effect later, after the caller's call has timed out. */
        DELAY
    }

    private final Simulation simulation;
    private final NavigableMap<String, StoreEntry> entries = new TreeMap<>();
    private final List<FakeWatch> watches = new ArrayList<>();
    private final Map<Long, Long> leaseEndsNs = new HashMap<>();
    private final Map<Long, Long> leaseTtlMs = new HashMap<>();
    private long revision = 1;
    private long lastLeaseId;
    private BiFunction<Txn, Simulation, Fault> faultChooser = (txn, sim) -> Fault.NONE;
    private boolean down;
    private long calls;

    private final class FakeWatch implements Watch {
        private final String fromKey;
        private final String toKey;
        private final Consumer<WatchEvent> listener;
        private long deliverAtNs;
        private boolean closed;

        private FakeWatch(String fromKey, String toKey, Consumer<WatchEvent> listener) {
            this.fromKey = fromKey;
            this.toKey = toKey;
            this.listener = listener;
        }

        private void deliverIfWatched(String key, WatchEvent event) {
            if (key.compareTo(fromKey) >= 0 && key.compareTo(toKey) < 0) {
                deliver(event);
            }
        }

        private void deliver(WatchEvent event) {
            deliverAtNs = Math.max(deliverAtNs, simulation.nowNs() + simulation.latencyNs());
            simulation.scheduleAt(
                    deliverAtNs,
                    "",
                    () -> {
                        if (!closed) {
                            listener.accept(event);
                        }
                    });
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    public FakeStore(Simulation simulation) {
        this.simulation = simulation;
    }

    public void setFaults(BiFunction<Txn, Simulation, Fault> chooser) {
        faultChooser = chooser;
    }

    public void setDown(boolean isDown) {
        down = isDown;
    }

    public long calls() {
        return calls;
    }

    public long revision() {
        return revision;
    }

    /** Ends all watches as lost, as a compaction does. */
    public void dropWatches() {
        watches.forEach(watch -> watch.deliver(new WatchEvent.Lost("dropped")));
        watches.clear();
    }

    /** Expires all leases at once. */
    public void expireLeases() {
        List.copyOf(leaseEndsNs.keySet()).forEach(this::endLease);
    }

    public List<StoreEntry> stored(String prefix) {
        return entries.values().stream().filter(entry -> entry.key().startsWith(prefix)).toList();
    }

    @Override
    public StoreOutcome<RangeResult> range(String fromKey, String toKey, int limit) {
        calls++;
        if (down) {
            return new StoreOutcome.NotApplied<>("down");
        }
        expire();
        List<StoreEntry> found = List.copyOf(entries.subMap(fromKey, toKey).values());
        boolean more = limit > 0 && found.size() > limit;
        return new StoreOutcome.Done<>(
                new RangeResult(more ? found.subList(0, limit) : found, revision, more));
    }

    @Override
    public StoreOutcome<TxnResult> commit(Txn txn) {
        calls++;
        if (down || !leasesLive(txn)) {
            return new StoreOutcome.NotApplied<>("down, or lease not found");
        }
        return switch (faultChooser.apply(txn, simulation)) {
            case NONE -> new StoreOutcome.Done<>(apply(txn));
            case REFUSE -> new StoreOutcome.NotApplied<>("refused");
            case LOSE_ANSWER -> {
                apply(txn);
                yield new StoreOutcome.Unknown<>("answer lost");
            }
            case LOSE_REQUEST -> new StoreOutcome.Unknown<>("request lost");
            case DELAY -> {
                simulation.schedule(simulation.random().nextInt(3_000), () -> applyDelayed(txn));
                yield new StoreOutcome.Unknown<>("delayed");
            }
        };
    }

    @Override
    public StoreOutcome<LeaseState> grantLease(long ttlMs) {
        calls++;
        if (down) {
            return new StoreOutcome.NotApplied<>("down");
        }
        lastLeaseId++;
        leaseTtlMs.put(lastLeaseId, ttlMs);
        leaseEndsNs.put(lastLeaseId, simulation.nowNs() + ttlMs * NS_PER_MS);
        simulation.schedule(ttlMs, this::expire);
        return new StoreOutcome.Done<>(new LeaseState.Alive(lastLeaseId, ttlMs));
    }

    @Override
    public StoreOutcome<LeaseState> renewLease(long leaseId) {
        calls++;
        if (down) {
            return new StoreOutcome.NotApplied<>("down");
        }
        expire();
        if (!leaseEndsNs.containsKey(leaseId)) {
            return new StoreOutcome.Done<>(new LeaseState.Expired(leaseId));
        }
        long ttlMs = leaseTtlMs.get(leaseId);
        leaseEndsNs.put(leaseId, simulation.nowNs() + ttlMs * NS_PER_MS);
        simulation.schedule(ttlMs, this::expire);
        return new StoreOutcome.Done<>(new LeaseState.Alive(leaseId, ttlMs));
    }

    @Override
    public StoreOutcome<LeaseState> revokeLease(long leaseId) {
        calls++;
        endLease(leaseId);
        return new StoreOutcome.Done<>(new LeaseState.Expired(leaseId));
    }

    @Override
    public Watch watch(
            String fromKey, String toKey, long fromRevision, Consumer<WatchEvent> listener) {
        calls++;
        FakeWatch watch = new FakeWatch(fromKey, toKey, listener);
        if (fromRevision <= revision) {
            watch.deliver(new WatchEvent.Lost("first revision to watch is not in the future"));
        } else {
            watches.add(watch);
        }
        return watch;
    }

    @Override
    public void close() {}

    /** Ends the leases that are due, except during an outage, when no lease expires. */
    private void expire() {
        if (!down) {
            Set<Long> ended = new HashSet<>();
            leaseEndsNs.forEach(
                    (id, endNs) -> {
                        if (endNs <= simulation.nowNs()) {
                            ended.add(id);
                        }
                    });
            ended.forEach(this::endLease);
        }
    }

    private void endLease(long leaseId) {
        leaseEndsNs.remove(leaseId);
        List<String> keys =
                entries.values().stream()
                        .filter(entry -> entry.leaseId() == leaseId && leaseId != 0)
                        .map(StoreEntry::key)
                        .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
        }
    }

    private boolean leasesLive(Txn txn) {
        expire();
        return txn.writes().stream()
                .allMatch(
                        write ->
                                !(write instanceof Write.Put put)
                                        || put.leaseId() == 0
                                        || leaseEndsNs.containsKey(put.leaseId()));
    }

    private void applyDelayed(Txn txn) {
        if (!down && leasesLive(txn)) {
            apply(txn);
        }
    }

    private TxnResult apply(Txn txn) {
        expire();
        if (!txn.conditions().stream().allMatch(this::holds)) {
            List<StoreEntry> read = new ArrayList<>();
            for (String key : txn.readOnFailure()) {
                if (entries.containsKey(key)) {
                    read.add(entries.get(key));
                }
            }
            return new TxnResult(false, revision, read);
        }
        revision++;
        for (Write write : txn.writes()) {
            switch (write) {
                case Write.Put put -> put(put);
                case Write.Delete delete -> remove(delete.key());
                case Write.DeleteRange range ->
                        List.copyOf(entries.subMap(range.fromKey(), range.toKey()).keySet())
                                .forEach(this::remove);
            }
        }
        return new TxnResult(true, revision, List.of());
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

    private void put(Write.Put put) {
        StoreEntry previous = entries.get(put.key());
        long created = previous == null ? revision : previous.createRevision();
        StoreEntry entry = new StoreEntry(put.key(), put.value(), created, revision, put.leaseId());
        entries.put(put.key(), entry);
        watches.forEach(watch -> watch.deliverIfWatched(put.key(), new WatchEvent.Written(entry)));
    }

    private void remove(String key) {
        if (entries.remove(key) != null) {
            watches.forEach(
                    watch -> watch.deliverIfWatched(key, new WatchEvent.Removed(key, revision)));
        }
    }
}
