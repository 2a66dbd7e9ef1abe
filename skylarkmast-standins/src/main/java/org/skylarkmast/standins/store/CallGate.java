package org.skylarkmast.standins.store;

import io.grpc.Status;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Counts calls by kind and decides which of them a fault fails; thread-safe. */
public final class CallGate {
    private static final long SECOND_NS = TimeUnit.SECONDS.toNanos(1);

    private final LongSupplier nowNs;
    private final Map<CallKind, Long> counts = new EnumMap<>(CallKind.class);

    private StoreFaults faults = StoreFaults.NONE;
    private int answersToLose;
    private long windowStartNs;
    private int windowReads;
    private int windowWrites;

    /** What a call does. */
    public enum CallKind {
        /** Reads keys. */
        RANGE(false),
        /** Writes one key. */
        PUT(true),
        /** Removes keys. */
        DELETE(true),
        /** Decides a transaction. */
        TXN(true),
        /** Grants a lease. */
        LEASE_GRANT(true),
        /** Renews a lease. */
        LEASE_RENEW(true),
        /** Ends a lease. */
        LEASE_REVOKE(true),
        /** Reads a lease. */
        LEASE_READ(false),
        /** Opens a watch. */
        WATCH(false);

        private final boolean write;

        CallKind(boolean write) {
            this.write = write;
        }

        /** Whether it counts against the limit on writes. */
        public boolean write() {
            return write;
        }
    }

    /**
     * Creates a gate without faults.
     *
     * @param nowNs monotonic clock of the limits
     */
    public CallGate(LongSupplier nowNs) {
        this.nowNs = nowNs;
        this.windowStartNs = nowNs.getAsLong();
    }

    /** Puts {@code newFaults} in force in place of the earlier ones. */
    public synchronized void setFaults(StoreFaults newFaults) {
        faults = newFaults;
        answersToLose = newFaults.loseAnswers();
    }

    /** The faults in force. */
    public synchronized StoreFaults faults() {
        return faults;
    }

    /** Counts a call; the status it fails with, if it does. */
    public synchronized Optional<Status> admit(CallKind kind) {
        counts.merge(kind, 1L, Long::sum);
        if (faults.down()) {
            return Optional.of(Status.UNAVAILABLE.withDescription("etcdserver: no leader"));
        }
        if (nowNs.getAsLong() - windowStartNs >= SECOND_NS) {
            windowStartNs = nowNs.getAsLong();
            windowReads = 0;
            windowWrites = 0;
        }
        int used = kind.write() ? ++windowWrites : ++windowReads;
        int limit = kind.write() ? faults.writesPerSecond() : faults.readsPerSecond();
        if (limit > 0 && used > limit) {
            return Optional.of(
                    Status.RESOURCE_EXHAUSTED.withDescription("etcdserver: too many requests"));
        }
        return Optional.empty();
    }

    /** Whether the answer of a write that took effect is to be lost; used up by the call. */
    public synchronized boolean loseAnswer(CallKind kind) {
        if (!kind.write() || answersToLose == 0) {
            return false;
        }
        answersToLose--;
        return true;
    }

    /** Calls so far, by kind. */
    public synchronized Map<String, Long> counts() {
        Map<String, Long> copy = new LinkedHashMap<>();
        for (CallKind kind : CallKind.values()) {
            copy.put(kind.name().toLowerCase(java.util.Locale.ROOT), counts.getOrDefault(kind, 0L));
        }
        return copy;
    }
}
