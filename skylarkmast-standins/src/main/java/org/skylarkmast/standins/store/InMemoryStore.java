package org.skylarkmast.standins.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
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

/**
 * A client of a {@link StoreState} with fault injection.
 *
 * <p>Several clients can share a state; injected faults affect only the client they are set on.
 * Thread-safe.
 */
public final class InMemoryStore implements KeyValueStore {
    private static final long MS_PER_SECOND = 1_000;

    private final StoreState state;
    private final Executor listenerExecutor;
    private final Set<InMemoryWatch> watches = ConcurrentHashMap.newKeySet();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();

    private volatile boolean down;

    /**
     * Creates a client of {@code state}.
     *
     * @param listenerExecutor executor of the watch listeners; {@code Runnable::run} calls them on
     *     the writing thread while it isSatisfied the lock of the store, which suits
     *     single-threaded tests only
     */
    public InMemoryStore(StoreState state, Executor listenerExecutor) {
        this.state = state;
        this.listenerExecutor = listenerExecutor;
    }

    /**
     * Sets whether every call fails as {@link StoreOutcome.NotApplied}. Watches deliver nothing
     * while the client is down, and their queued events once it is up again.
     */
    public void setDown(boolean down) {
        this.down = down;
        if (!down) {
            watches.forEach(InMemoryWatch::startDelivery);
        }
    }

    /** Drops the answers to the next {@code count} writes after they have taken effect. */
    public void loseNextAnswers(int count) {
        answersToLose.set(count);
    }

    /** Ends {@code leaseId} as if its time to live had elapsed. */
    public void expireLease(long leaseId) {
        state.revokeLease(leaseId);
    }

    /** Ends all watches of this client as {@link WatchEvent.Lost}. */
    public void dropWatches() {
        for (InMemoryWatch watch : List.copyOf(watches)) {
            watch.endAsLost("watches dropped");
        }
    }

    /** Returns the number of range reads sent by this client. */
    public long reads() {
        return reads.get();
    }

    /** Returns the number of transactions and lease calls sent by this client. */
    public long writes() {
        return writes.get();
    }

    @Override
    public StoreOutcome<RangeResult> range(String fromKey, String toKey, int limit) {
        reads.incrementAndGet();
        if (down) {
            return new StoreOutcome.NotApplied<>("store is down");
        }
        return new StoreOutcome.Done<>(state.atomically(() -> read(fromKey, toKey, limit)));
    }

    @Override
    public StoreOutcome<TxnResult> commit(Txn txn) {
        return write(() -> state.atomically(() -> executeTxn(txn)));
    }

    @Override
    public StoreOutcome<LeaseState> grantLease(long ttlMs) {
        long ttlInWholeSecondsMs = Math.ceilDiv(ttlMs, MS_PER_SECOND) * MS_PER_SECOND;
        return write(
                () -> {
                    long leaseId = state.grantLease(0, ttlInWholeSecondsMs).orElseThrow();
                    return new StoreOutcome.Done<>(
                            new LeaseState.Alive(leaseId, ttlInWholeSecondsMs));
                });
    }

    @Override
    public StoreOutcome<LeaseState> renewLease(long leaseId) {
        return write(
                () -> {
                    OptionalLong ttlMs = state.renewLease(leaseId);
                    return new StoreOutcome.Done<>(
                            ttlMs.isPresent()
                                    ? new LeaseState.Alive(leaseId, ttlMs.getAsLong())
                                    : new LeaseState.Expired(leaseId));
                });
    }

    @Override
    public StoreOutcome<LeaseState> revokeLease(long leaseId) {
        return write(
                () -> {
                    state.revokeLease(leaseId);
                    return new StoreOutcome.Done<>(new LeaseState.Expired(leaseId));
                });
    }

    @Override
    public Watch watch(
            String fromKey, String toKey, long fromRevision, Consumer<WatchEvent> listener) {
        InMemoryWatch watch = new InMemoryWatch(listener);
        watches.add(watch);
        watch.start(fromKey, toKey, fromRevision);
        return watch;
    }

    @Override
    public void close() {
        List.copyOf(watches).forEach(InMemoryWatch::close);
    }

    private <T> StoreOutcome<T> write(Supplier<StoreOutcome<T>> call) {
        writes.incrementAndGet();
        if (down) {
            return new StoreOutcome.NotApplied<>("store is down");
        }
        StoreOutcome<T> outcome = call.get();
        if (answersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
            return new StoreOutcome.Unknown<>("answer lost");
        }
        return outcome;
    }

    private RangeResult read(String fromKey, String toKey, int limit) {
        List<StoreEntry> found =
                state.range(fromKey, toKey).stream().map(VersionedEntry::entry).toList();
        boolean more = limit > 0 && found.size() > limit;
        return new RangeResult(more ? found.subList(0, limit) : found, state.revision(), more);
    }

    private StoreOutcome<TxnResult> executeTxn(Txn txn) {
        if (!txn.conditions().stream().allMatch(this::isSatisfied)) {
            List<StoreEntry> read =
                    txn.readOnFailure().stream()
                            .map(state::get)
                            .flatMap(Optional::stream)
                            .map(VersionedEntry::entry)
                            .toList();
            return new StoreOutcome.Done<>(new TxnResult(false, state.revision(), read));
        }
        return switch (state.apply(txn.writes())) {
            case ApplyOutcome.Applied applied ->
                    new StoreOutcome.Done<>(new TxnResult(true, applied.revision(), List.of()));
            case ApplyOutcome.LeaseNotFound notFound ->
                    new StoreOutcome.NotApplied<>("lease not found: " + notFound.leaseId());
            case ApplyOutcome.DuplicateKey duplicate ->
                    new StoreOutcome.NotApplied<>("duplicate key: " + duplicate.key());
        };
    }

    private boolean isSatisfied(Condition condition) {
        Optional<VersionedEntry> stored = state.get(condition.key());
        return switch (condition) {
            case Condition.KeyAbsent absent -> stored.isEmpty();
            case Condition.KeyPresent present -> stored.isPresent();
            case Condition.ModRevisionIs is ->
                    stored.map(found -> found.entry().modRevision()).orElse(0L) == is.modRevision();
        };
    }

    private static WatchEvent event(StoreChange change) {
        return change.stored()
                .<WatchEvent>map(stored -> new WatchEvent.Written(stored.entry()))
                .orElseGet(() -> new WatchEvent.Removed(change.key(), change.revision()));
    }

    /**
     * Queues changes and delivers them to its listener one at a time. They are delivered outside
     * the lock of the store, unless the executor runs its tasks on the calling thread.
     */
    private final class InMemoryWatch implements Watch, ChangeListener {
        private final Consumer<WatchEvent> listener;
        private final List<WatchEvent> queue = new ArrayList<>();

        private boolean delivering;
        private boolean ended;
        private Runnable unsubscribe = () -> {};

        InMemoryWatch(Consumer<WatchEvent> listener) {
            this.listener = listener;
        }

        void start(String fromKey, String toKey, long fromRevision) {
            Runnable endSubscription = state.watch(fromKey, toKey, fromRevision, this);
            synchronized (this) {
                unsubscribe = endSubscription;
            }
        }

        @Override
        public void onChanges(List<StoreChange> changes) {
            synchronized (this) {
                if (ended) {
                    return;
                }
                changes.forEach(change -> queue.add(event(change)));
            }
            startDelivery();
        }

        @Override
        public void onCompacted(long compactRevision) {
            endAsLost("compacted up to " + compactRevision);
        }

        void endAsLost(String reason) {
            Runnable endSubscription;
            synchronized (this) {
                if (ended) {
                    return;
                }
                queue.add(new WatchEvent.Lost(reason));
                ended = true;
                endSubscription = unsubscribe;
            }
            watches.remove(this);
            endSubscription.run();
            startDelivery();
        }

        @Override
        public void close() {
            Runnable endSubscription;
            synchronized (this) {
                ended = true;
                queue.clear();
                endSubscription = unsubscribe;
            }
            watches.remove(this);
            endSubscription.run();
        }

        void startDelivery() {
            synchronized (this) {
                if (delivering || queue.isEmpty()) {
                    return;
                }
                delivering = true;
            }
            listenerExecutor.execute(this::deliver);
        }

        private void deliver() {
            for (WatchEvent event = nextEvent(); event != null; event = nextEvent()) {
                listener.accept(event);
            }
        }

        private synchronized WatchEvent nextEvent() {
            if (queue.isEmpty() || down) {
                delivering = false;
                return null;
            }
            return queue.removeFirst();
        }
    }
}
