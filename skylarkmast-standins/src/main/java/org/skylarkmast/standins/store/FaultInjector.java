package org.skylarkmast.standins.store;

import io.grpc.Status;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Counts calls by kind and fails them according to the injected faults. Thread-safe. */
public final class FaultInjector {
    private static final long LIMIT_WINDOW_NS = TimeUnit.SECONDS.toNanos(1);

    private final LongSupplier nowNs;
    private final Map<CallKind, Long> counts = new EnumMap<>(CallKind.class);

    private StoreFaults faults = StoreFaults.NONE;
    private int answersToLose;
    private long windowStartNs;
    private int windowReads;
    private int windowWrites;

    /** The kind of a call. */
    public enum CallKind {
        /** Reads keys. */
        RANGE(false),
        /** Writes one key. */
        PUT(true),
        /** Deletes keys. */
        DELETE(true),
        /** Executes a transaction. */
        TXN(true),
        /** Grants a lease. */
        LEASE_GRANT(true),
        /** Renews a lease. */
        LEASE_RENEW(true),
        /** Revokes a lease. */
        LEASE_REVOKE(true),
        /** Reads a lease. */
        LEASE_READ(false),
        /** Opens a watch. */
        WATCH(false);

        private final boolean isWrite;

        CallKind(boolean isWrite) {
            this.isWrite = isWrite;
        }

        /** Returns whether the call counts towards the limit on writes instead of that on reads. */
        public boolean isWrite() {
            return isWrite;
        }
    }

    /**
     * Creates an injector without faults.
     *
     * @param nowNs monotonic clock in nanoseconds for the limits per second
     */
    public FaultInjector(LongSupplier nowNs) {
        this.nowNs = nowNs;
        this.windowStartNs = nowNs.getAsLong();
    }

    /** Replaces the active faults by {@code newFaults}. */
    public synchronized void setFaults(StoreFaults newFaults) {
        faults = newFaults;
        answersToLose = newFaults.loseAnswers();
    }

    /** Returns the active faults. */
    public synchronized StoreFaults faults() {
        return faults;
    }

    /** Counts a call and returns the status to fail it with; empty if it proceeds. */
    public synchronized Optional<Status> admit(CallKind kind) {
        counts.merge(kind, 1L, Long::sum);
        if (faults.down()) {
            return Optional.of(Status.UNAVAILABLE.withDescription("etcdserver: no leader"));
        }
        if (nowNs.getAsLong() - windowStartNs >= LIMIT_WINDOW_NS) {
            windowStartNs = nowNs.getAsLong();
            windowReads = 0;
            windowWrites = 0;
        }
        int used = kind.isWrite() ? ++windowWrites : ++windowReads;
        int limit = kind.isWrite() ? faults.writesPerSecond() : faults.readsPerSecond();
        if (limit > 0 && used > limit) {
            return Optional.of(
                    Status.RESOURCE_EXHAUSTED.withDescription("etcdserver: too many requests"));
        }
        return Optional.empty();
    }

    /**
     * Returns whether to drop the answer to a write that took effect. Each true result reduces the
     * number of answers still to be dropped by one.
     */
    public synchronized boolean consumeAnswerLoss(CallKind kind) {
        if (!kind.isWrite() || answersToLose == 0) {
            return false;
        }
        answersToLose--;
        return true;
    }

    /** Returns the number of calls so far by kind, in lower case. */
    public synchronized Map<String, Long> counts() {
        Map<String, Long> copy = new LinkedHashMap<>();
        for (CallKind kind : CallKind.values()) {
            copy.put(kind.name().toLowerCase(java.util.Locale.ROOT), counts.getOrDefault(kind, 0L));
        }
        return copy;
    }
}
