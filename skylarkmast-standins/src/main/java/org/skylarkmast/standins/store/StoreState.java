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
 * In-memory keys, revisions, leases and watches with the semantics of etcd.
 *
 * <p>Thread-safe. Every method is atomic; {@link #atomically} combines several calls into one
 * atomic action. Every call first ends the leases that have expired.
 */
public final class StoreState {

    /** Range end that includes all keys from the start of the range, as in etcd. */
    public static final String NO_END = "\0";

    /** Revisions kept for watches; a watch from an older revision gets a compaction error. */
    private static final int MAX_HISTORY_REVISIONS = 20_000;

    private final LongSupplier nowNs;
    private final NavigableMap<String, VersionedEntry> entries = new TreeMap<>();
    private final NavigableMap<Long, List<StoreChange>> history = new TreeMap<>();
    private final Map<Long, Lease> leases = new LinkedHashMap<>();
    private final Set<Subscription> subscriptions = new LinkedHashSet<>();

    private long revision = 1;
    private long compactedRevision;
    private long lastLeaseId;

    private record Lease(long ttlMs, long expiresAtNs) {}

    /** An active watch on a range of keys. */
    private record Subscription(String fromKey, String toKey, ChangeListener listener) {

        boolean contains(String key) {
            return inRange(key, fromKey, toKey);
        }
    }

    /**
     * Creates an empty store.
     *
     * @param nowNs monotonic clock in nanoseconds for the expiry of leases
     */
    public StoreState(LongSupplier nowNs) {
        this.nowNs = nowNs;
    }

    /** Runs {@code action} atomically, under the lock of the store; it must not block. */
    public synchronized <T> T atomically(Supplier<T> action) {
        return action.get();
    }

    /** Returns the revision of the last change. */
    public synchronized long revision() {
        endExpiredLeases();
        return revision;
    }

    /** Returns the entry of {@code key}, if it exists. */
    public synchronized Optional<VersionedEntry> get(String key) {
        endExpiredLeases();
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Returns the entries from {@code fromKey} to {@code toKey} (exclusive, or {@link #NO_END}).
     */
    public synchronized List<VersionedEntry> range(String fromKey, String toKey) {
        endExpiredLeases();
        return List.copyOf(rangeView(fromKey, toKey).values());
    }

    /** Applies all of {@code writes} at one revision, or none of them. */
    public synchronized ApplyOutcome apply(List<Write> writes) {
        endExpiredLeases();
        Optional<ApplyOutcome> refusal = findRefusal(writes);
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

    /**
     * Grants a lease and returns its id.
     *
     * @param leaseId requested id, or 0 to assign one
     * @return the id; empty if it is already in use
     */
    public synchronized OptionalLong grantLease(long leaseId, long ttlMs) {
        endExpiredLeases();
        long id = leaseId == 0 ? lastLeaseId + 1 : leaseId;
        if (leases.containsKey(id)) {
            return OptionalLong.empty();
        }
        lastLeaseId = Math.max(lastLeaseId, id);
        leases.put(id, newLease(ttlMs));
        return OptionalLong.of(id);
    }

    /** Renews a lease and returns its time to live in ms; empty if the lease does not exist. */
    public synchronized OptionalLong renewLease(long leaseId) {
        endExpiredLeases();
        Lease lease = leases.get(leaseId);
        if (lease == null) {
            return OptionalLong.empty();
        }
        leases.put(leaseId, newLease(lease.ttlMs()));
        return OptionalLong.of(lease.ttlMs());
    }

    /** Ends a lease and deletes its keys; returns whether the lease existed. */
    public synchronized boolean revokeLease(long leaseId) {
        endExpiredLeases();
        return endLease(leaseId);
    }

    /** Ends the leases whose time to live has elapsed. */
    public synchronized void endExpiredLeases() {
        long now = nowNs.getAsLong();
        List<Long> expiredIds =
                leases.entrySet().stream()
                        .filter(lease -> lease.getValue().expiresAtNs() - now <= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        expiredIds.forEach(this::endLease);
    }

    /** Ends all leases at once. */
    public synchronized void endAllLeases() {
        List.copyOf(leases.keySet()).forEach(this::endLease);
    }

    /** Discards the change history up to and including {@code upToRevision}. */
    public synchronized void compact(long upToRevision) {
        compactedRevision = Math.max(compactedRevision, Math.min(upToRevision, revision));
        history.headMap(compactedRevision, true).clear();
    }

    /**
     * Starts a watch. Changes since {@code fromRevision} are passed to the listener before this
     * method returns.
     *
     * @param fromRevision first revision to report, or 0 for the next one
     * @return an action that ends the watch
     */
    public synchronized Runnable watch(
            String fromKey, String toKey, long fromRevision, ChangeListener listener) {
        endExpiredLeases();
        Subscription subscription = new Subscription(fromKey, toKey, listener);
        if (fromRevision > 0 && fromRevision <= compactedRevision) {
            listener.onCompacted(compactedRevision + 1);
            return () -> {};
        }
        if (fromRevision > 0) {
            history.tailMap(fromRevision, true)
                    .values()
                    .forEach(changes -> notifyListener(subscription, changes));
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

    private NavigableMap<String, VersionedEntry> rangeView(String fromKey, String toKey) {
        if (toKey.equals(NO_END)) {
            return entries.tailMap(fromKey, true);
        }
        if (fromKey.compareTo(toKey) >= 0) {
            return new TreeMap<>();
        }
        return entries.subMap(fromKey, true, toKey, false);
    }

    private Optional<ApplyOutcome> findRefusal(List<Write> writes) {
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
        VersionedEntry before = entries.get(put.key());
        long created = before == null ? atRevision : before.entry().createRevision();
        long version = before == null ? 1 : before.version() + 1;
        StoreEntry entry =
                new StoreEntry(put.key(), put.value().clone(), created, atRevision, put.leaseId());
        VersionedEntry stored = new VersionedEntry(entry, version);
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
                        .map(VersionedEntry::entry)
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
        if (history.size() > MAX_HISTORY_REVISIONS) {
            compact(history.firstKey());
        }
        List.copyOf(subscriptions).forEach(subscription -> notifyListener(subscription, changes));
    }

    private static void notifyListener(Subscription subscription, List<StoreChange> changes) {
        List<StoreChange> watchedChanges =
                changes.stream().filter(change -> subscription.contains(change.key())).toList();
        if (!watchedChanges.isEmpty()) {
            subscription.listener().onChanges(watchedChanges);
        }
    }

    private Lease newLease(long ttlMs) {
        return new Lease(ttlMs, nowNs.getAsLong() + TimeUnit.MILLISECONDS.toNanos(ttlMs));
    }
}
