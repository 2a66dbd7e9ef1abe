package org.skylarkmast.standins.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.Write;

/**
 * Keys, revisions, leases and watches with etcd's semantics, in memory.
 *
 * <p>Thread-safe; every method is atomic, and {@link #atomically} joins several. Leases are checked
 * against the clock at each call.
 */
public final class StoreState {

    /** Range end that stands for all keys from the start on, as in etcd. */
    public static final String NO_END = "\0";

    /** Revisions kept for watches; a watch from before them is told so. */
    private static final int MAX_HISTORY = 20_000;

    private final LongSupplier nowNs;
    private final NavigableMap<String, Stored> entries = new TreeMap<>();
    private final NavigableMap<Long, List<StoreChange>> history = new TreeMap<>();
    private final Map<Long, Lease> leases = new LinkedHashMap<>();
    private final Set<Subscription> subscriptions = new LinkedHashSet<>();

    private long revision = 1;
    private long compactedRevision;
    private long lastLeaseId;

    private record Lease(long ttlMs, long expiresAtNs) {}

    /** A running watch on a range of keys. */
    private record Subscription(String fromKey, String toKey, ChangeListener listener) {

        boolean covers(String key) {
            return inRange(key, fromKey, toKey);
        }
    }

    /**
     * Creates an empty store.
     *
     * @param nowNs monotonic clock that leases run by
     */
    public StoreState(LongSupplier nowNs) {
        this.nowNs = nowNs;
    }

    /** Runs {@code action} with no other call in between; it must not block. */
    public synchronized <T> T atomically(Supplier<T> action) {
        return action.get();
    }

    /** The revision of the last change. */
    public synchronized long revision() {
        expireDue();
        return revision;
    }

    /** The entry of {@code key}, if it exists. */
    public synchronized Optional<Stored> get(String key) {
        expireDue();
        return Optional.ofNullable(entries.get(key));
    }

    /** The entries from {@code fromKey} to {@code toKey} (exclusive, or {@link #NO_END}). */
    public synchronized List<Stored> range(String fromKey, String toKey) {
        expireDue();
        return List.copyOf(rangeView(fromKey, toKey).values());
    }

    /** Applies all of {@code writes} at one revision, or none. */
    public synchronized ApplyOutcome apply(List<Write> writes) {
        expireDue();
        Optional<ApplyOutcome> refusal = refusal(writes);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        long next = revision + 1;
        List<StoreChange> changes = new ArrayList<>();
        for (Write write : writes) {
            switch (write) {
                case Write.Put put -> changes.add(put(put, next));
                case Write.Delete delete -> remove(List.of(delete.key()), next, changes);
                case Write.DeleteRange range ->
                        remove(
                                List.copyOf(rangeView(range.fromKey(), range.toKey()).keySet()),
                                next,
                                changes);
            }
        }
        publish(changes);
        return new ApplyOutcome.Applied(revision);
    }

    /** Grants a lease under {@code leaseId}, or under a new id for 0; empty if the id is taken. */
    public synchronized OptionalLong grantLease(long leaseId, long ttlMs) {
        expireDue();
        long id = leaseId == 0 ? lastLeaseId + 1 : leaseId;
        if (leases.containsKey(id)) {
            return OptionalLong.empty();
        }
        lastLeaseId = Math.max(lastLeaseId, id);
        leases.put(id, lease(ttlMs));
        return OptionalLong.of(id);
    }

    /** Renews a lease and returns its time to live; empty if it does not exist. */
    public synchronized OptionalLong renewLease(long leaseId) {
        expireDue();
        Lease lease = leases.get(leaseId);
        if (lease == null) {
            return OptionalLong.empty();
        }
        leases.put(leaseId, lease(lease.ttlMs()));
        return OptionalLong.of(lease.ttlMs());
    }

    /** Ends a lease and removes its keys; returns whether it existed. */
    public synchronized boolean revokeLease(long leaseId) {
        expireDue();
        return endLease(leaseId);
    }

    /** Ends the leases whose time is over. */
    public synchronized void expireDue() {
        long now = nowNs.getAsLong();
        List<Long> due =
                leases.entrySet().stream()
                        .filter(lease -> lease.getValue().expiresAtNs() - now <= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        due.forEach(this::endLease);
    }

    /** Ends all leases at once. */
    public synchronized void expireAll() {
        List.copyOf(leases.keySet()).forEach(this::endLease);
    }

    /** Forgets the changes up to and including {@code upToRevision}. */
    public synchronized void compact(long upToRevision) {
        compactedRevision = Math.max(compactedRevision, Math.min(upToRevision, revision));
        history.headMap(compactedRevision, true).clear();
    }

    /**
     * Starts a watch; changes already made are passed before this returns.
     *
     * @param fromRevision first revision to report, or 0 for the next one
     * @return ends the watch
     */
    public synchronized Runnable watch(
            String fromKey, String toKey, long fromRevision, ChangeListener listener) {
        expireDue();
        Subscription subscription = new Subscription(fromKey, toKey, listener);
        if (fromRevision > 0 && fromRevision <= compactedRevision) {
            listener.onCompacted(compactedRevision + 1);
            return () -> {};
        }
        if (fromRevision > 0) {
            history.tailMap(fromRevision, true)
                    .values()
                    .forEach(changes -> report(subscription, changes));
        }
        subscriptions.add(subscription);
        return () -> unsubscribe(subscription);
    }

    private synchronized void unsubscribe(Subscription subscription) {
        subscriptions.remove(subscription);
    }

    private static boolean inRange(String key, String fromKey, String toKey) {
        return key.compareTo(fromKey) >= 0 && (toKey.equals(NO_END) || key.compareTo(toKey) < 0);
    }

    private NavigableMap<String, Stored> rangeView(String fromKey, String toKey) {
        if (toKey.equals(NO_END)) {
            return entries.tailMap(fromKey, true);
        }
        if (fromKey.compareTo(toKey) >= 0) {
            return new TreeMap<>();
        }
        return entries.subMap(fromKey, true, toKey, false);
    }

    private Optional<ApplyOutcome> refusal(List<Write> writes) {
        Set<String> keys = new HashSet<>();
        for (Write write : writes) {
            if (!(write instanceof Write.Put put)) {
                continue;
            }
            if (put.leaseId() != 0 && !leases.containsKey(put.leaseId())) {
                return Optional.of(new ApplyOutcome.LeaseNotFound(put.leaseId()));
            }
            boolean deleted = writes.stream().anyMatch(other -> deletes(other, put.key()));
            if (!keys.add(put.key()) || deleted) {
                return Optional.of(new ApplyOutcome.DuplicateKey(put.key()));
            }
        }
        return Optional.empty();
    }

    private static boolean deletes(Write write, String key) {
        return switch (write) {
            case Write.Put put -> false;
            case Write.Delete delete -> delete.key().equals(key);
            case Write.DeleteRange range -> inRange(key, range.fromKey(), range.toKey());
        };
    }

    private StoreChange put(Write.Put put, long atRevision) {
        Stored before = entries.get(put.key());
        long created = before == null ? atRevision : before.entry().createRevision();
        long version = before == null ? 1 : before.version() + 1;
        StoreEntry entry =
                new StoreEntry(put.key(), put.value().clone(), created, atRevision, put.leaseId());
        Stored stored = new Stored(entry, version);
        entries.put(put.key(), stored);
        return new StoreChange(put.key(), atRevision, Optional.of(stored));
    }

    private void remove(List<String> keys, long atRevision, List<StoreChange> changes) {
        for (String key : keys) {
            if (entries.remove(key) != null) {
                changes.add(new StoreChange(key, atRevision, Optional.empty()));
            }
        }
    }

    private boolean endLease(long leaseId) {
        if (leases.remove(leaseId) == null) {
            return false;
        }
        List<String> keys =
                entries.values().stream()
                        .map(Stored::entry)
                        .filter(entry -> entry.leaseId() == leaseId)
                        .map(StoreEntry::key)
                        .toList();
        List<StoreChange> changes = new ArrayList<>();
        remove(keys, revision + 1, changes);
        publish(changes);
        return true;
    }

    private void publish(List<StoreChange> changes) {
        if (changes.isEmpty()) {
            return;
        }
        revision++;
        history.put(revision, List.copyOf(changes));
        if (history.size() > MAX_HISTORY) {
            compact(history.firstKey());
        }
        List.copyOf(subscriptions).forEach(subscription -> report(subscription, changes));
    }

    private static void report(Subscription subscription, List<StoreChange> changes) {
        List<StoreChange> seen =
                changes.stream().filter(change -> subscription.covers(change.key())).toList();
        if (!seen.isEmpty()) {
            subscription.listener().onChanges(seen);
        }
    }

    private Lease lease(long ttlMs) {
        return new Lease(ttlMs, nowNs.getAsLong() + TimeUnit.MILLISECONDS.toNanos(ttlMs));
    }
}
