package org.skylarkmast.daemon.ownership;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.ownership.SessionRecord;
import org.skylarkmast.core.store.Condition;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.LeaseState;
import org.skylarkmast.core.store.StoreKeys;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.skylarkmast.core.store.Write;

/**
 * The session of this node: a key bound to a lease, under an incarnation id that is never reused.
 *
 * <p>{@link #open}, {@link #renew}, {@link #markDraining} and {@link #close} block and must be
 * called by one thread at a time; the other methods may be called from any thread.
 */
public final class NodeSession {
    private static final long NS_PER_MS = 1_000_000L;
    private static final int OPEN_ATTEMPTS = 3;

    private final KeyValueStore store;
    private final LongSupplier nowNs;
    private final Supplier<String> incarnations;
    private final long ttlMs;
    private final long marginMs;

    private volatile SessionRecord record;
    private volatile Lease lease;

    private record Lease(String incarnation, long leaseId, long validUntilNs) {}

    /** Outcome of opening or renewing a session. */
    public sealed interface SessionOutcome {

        /** The session is open. */
        record Open(String incarnation) implements SessionOutcome {}

        /** The session no longer exists; a new one must be opened. */
        record Gone() implements SessionOutcome {}

        /**
         * The key-value service did not answer; the state of the session is unchanged or unknown.
         */
        record Unavailable(String reason) implements SessionOutcome {}
    }

    /**
     * Creates a session; {@link #open} opens it.
     *
     * @param nowNs monotonic clock
     * @param incarnations source of ids that are never reused
     * @param record description of this node for other nodes
     * @param ttlMs time after which the lease expires without a renewal
     * @param marginMs time before the expiry of the lease from which this node treats it as
     *     expired; covers the difference between clock rates
     */
    public NodeSession(
            KeyValueStore store,
            LongSupplier nowNs,
            Supplier<String> incarnations,
            SessionRecord record,
            long ttlMs,
            long marginMs) {
        this.store = store;
        this.nowNs = nowNs;
        this.incarnations = incarnations;
        this.record = record;
        this.ttlMs = ttlMs;
        this.marginMs = marginMs;
    }

    /** Opens a session under a new incarnation id. */
    public SessionOutcome open() {
        long sentAtNs = nowNs.getAsLong();
        return switch (store.grantLease(ttlMs)) {
            case StoreOutcome.Done<LeaseState>(LeaseState.Alive alive) ->
                    putSession(alive, sentAtNs);
            case StoreOutcome.Done<LeaseState>(LeaseState.Expired expired) ->
                    new SessionOutcome.Unavailable("granted lease has already expired");
            case StoreOutcome.NotApplied<LeaseState>(String reason) ->
                    new SessionOutcome.Unavailable(reason);
            case StoreOutcome.Unknown<LeaseState>(String reason) ->
                    // A lease granted although its answer was lost has no keys and expires by
                    // itself.
                    new SessionOutcome.Unavailable(reason);
        };
    }

    /** Renews the lease. */
    public SessionOutcome renew() {
        Lease current = lease;
        if (current == null) {
            return new SessionOutcome.Gone();
        }
        long sentAtNs = nowNs.getAsLong();
        return switch (store.renewLease(current.leaseId)) {
            case StoreOutcome.Done<LeaseState>(LeaseState.Alive alive) -> {
                lease = toLease(current.incarnation, alive, sentAtNs);
                yield new SessionOutcome.Open(current.incarnation);
            }
            case StoreOutcome.Done<LeaseState>(LeaseState.Expired expired) -> {
                abandon();
                yield new SessionOutcome.Gone();
            }
            case StoreOutcome.NotApplied<LeaseState>(String reason) ->
                    new SessionOutcome.Unavailable(reason);
            case StoreOutcome.Unknown<LeaseState>(String reason) ->
                    new SessionOutcome.Unavailable(reason);
        };
    }

    /**
     * Marks the session as draining in its stored record, which other nodes read.
     *
     * @return whether the mark is known to be stored
     */
    public boolean markDraining() {
        record = record.asDraining();
        Lease current = lease;
        if (current == null) {
            return false;
        }
        String key = StoreKeys.session(current.incarnation);
        Txn txn =
                new Txn(
                        List.of(new Condition.KeyPresent(key)),
                        List.of(new Write.Put(key, JsonUtil.toBytes(record), current.leaseId)));
        return store.commit(txn) instanceof StoreOutcome.Done<TxnResult>(TxnResult result)
                && result.succeeded();
    }

    /** Discards the session without revoking its lease; for use when its key no longer exists. */
    public void abandon() {
        lease = null;
    }

    /** Closes the session and revokes its lease; other nodes may then claim its partitions. */
    public void close() {
        Lease current = lease;
        lease = null;
        if (current != null) {
            store.revokeLease(current.leaseId);
        }
    }

    /**
     * Whether the lease cannot have expired by {@code atNs}, however long this node was paused. The
     * lease time counts from before the last successful request was sent.
     */
    public boolean leaseValidAt(long atNs) {
        Lease current = lease;
        return current != null && atNs - current.validUntilNs < 0;
    }

    /** The incarnation id, while a session is open. */
    public Optional<String> incarnation() {
        return Optional.ofNullable(lease).map(Lease::incarnation);
    }

    /** Description of this node for other nodes. */
    public SessionRecord record() {
        return record;
    }

    private SessionOutcome putSession(LeaseState.Alive alive, long sentAtNs) {
        String incarnation = incarnations.get();
        String key = StoreKeys.session(incarnation);
        Txn txn =
                new Txn(
                        List.of(new Condition.KeyAbsent(key)),
                        List.of(new Write.Put(key, JsonUtil.toBytes(record), alive.leaseId())),
                        List.of(key));
        String reason = "";
        for (int attempt = 0; attempt < OPEN_ATTEMPTS; attempt++) {
            switch (store.commit(txn)) {
                case StoreOutcome.Done<TxnResult>(TxnResult result) -> {
                    // An existing key was put by an earlier attempt whose answer was lost.
                    if (result.succeeded() || !result.entries().isEmpty()) {
                        lease = toLease(incarnation, alive, sentAtNs);
                        return new SessionOutcome.Open(incarnation);
                    }
                    reason = "session key neither absent nor readable";
                }
                case StoreOutcome.NotApplied<TxnResult>(String failure) -> reason = failure;
                case StoreOutcome.Unknown<TxnResult>(String failure) -> reason = failure;
            }
        }
        return new SessionOutcome.Unavailable(reason);
    }

    private Lease toLease(String incarnation, LeaseState.Alive alive, long sentAtNs) {
        long validMs = Math.min(ttlMs, alive.ttlMs()) - marginMs;
        return new Lease(incarnation, alive.leaseId(), sentAtNs + validMs * NS_PER_MS);
    }
}
