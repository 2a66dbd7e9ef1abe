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
 * This node's session: a key bound to a lease, under an incarnation id that is never used again.
 *
 * <p>Opening, renewing, draining and closing block and are called by one thread at a time; the
 * other methods may be called from any thread.
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

    /** What became of opening or renewing. */
    public sealed interface SessionOutcome {

        /** The session is open. */
        record Open(String incarnation) implements SessionOutcome {}

        /** The session is gone; a new one has to be opened. */
        record Gone() implements SessionOutcome {}

        /** The key-value service did not answer; nothing is known to have changed. */
        record Unavailable(String reason) implements SessionOutcome {}
    }

    /**
     * Creates a session that is not open yet.
     *
     * @param nowNs monotonic clock
     * @param incarnations source of ids that are never used twice
     * @param record what other nodes read about this one
     * @param ttlMs life of the lease without a renewal
     * @param marginMs time before the lease's end at which this node stops to rely on it; covers
     *     the difference of clock rates
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
            case StoreOutcome.Done<LeaseState>(LeaseState.Alive alive) -> put(alive, sentAtNs);
            case StoreOutcome.Done<LeaseState>(LeaseState.Expired expired) ->
                    new SessionOutcome.Unavailable("granted lease expired at once");
            case StoreOutcome.NotApplied<LeaseState>(String reason) ->
                    new SessionOutcome.Unavailable(reason);
            case StoreOutcome.Unknown<LeaseState>(String reason) ->
                    // A lease granted without our knowing has no keys and runs out by itself.
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
                lease = leased(current.incarnation, alive, sentAtNs);
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
     * Marks the session as draining for other nodes to see.
     *
     * @return whether the mark is stored
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

    /** Gives the session up without telling the key-value service: its key was seen to be gone. */
    public void abandon() {
        lease = null;
    }

    /** Ends the session; other nodes may claim what it held. */
    public void close() {
        Lease current = lease;
        lease = null;
        if (current != null) {
            store.revokeLease(current.leaseId);
        }
    }

    /**
     * Whether the session cannot have lapsed by {@code atNs}, however late this node is. Counted
     * from before the last successful renewal was sent.
     */
    public boolean leaseValidAt(long atNs) {
        Lease current = lease;
        return current != null && atNs - current.validUntilNs < 0;
    }

    /** The incarnation id, while a session is open. */
    public Optional<String> incarnation() {
        return Optional.ofNullable(lease).map(Lease::incarnation);
    }

    /** What other nodes read about this one. */
    public SessionRecord record() {
        return record;
    }

    private SessionOutcome put(LeaseState.Alive alive, long sentAtNs) {
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
                    // A key that is there already was put by an attempt whose answer was lost.
                    if (result.succeeded() || !result.entries().isEmpty()) {
                        lease = leased(incarnation, alive, sentAtNs);
                        return new SessionOutcome.Open(incarnation);
                    }
                    reason = "session key vanished";
                }
                case StoreOutcome.NotApplied<TxnResult>(String why) -> reason = why;
                case StoreOutcome.Unknown<TxnResult>(String why) -> reason = why;
            }
        }
        return new SessionOutcome.Unavailable(reason);
    }

    private Lease leased(String incarnation, LeaseState.Alive alive, long sentAtNs) {
        long livesMs = Math.min(ttlMs, alive.ttlMs()) - marginMs;
        return new Lease(incarnation, alive.leaseId(), sentAtNs + livesMs * NS_PER_MS);
    }
}
