package org.skylarkmast.relay.http;

import java.io.IOException;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/** A pool of idle connections, one queue per runner. Thread-safe. */
public final class RunnerConnectionPool implements AutoCloseable {

    /** Idle time after which a connection is no longer reused if the runner declares no timeout. */
    private static final long DEFAULT_KEEP_ALIVE_MS = 1000;

    /**
     * Margin subtracted from the runner's timeout, since the two sides measure idle time
     * differently and the link delays what they send.
     */
    private static final long KEEP_ALIVE_MARGIN_MS = 700;

    private static final int MAX_IDLE_PER_RUNNER = 32;
    private static final long NS_PER_MS = 1_000_000;

    private final Map<String, Deque<Idle>> idleByRunner = new ConcurrentHashMap<>();
    private final AtomicLong openedCount = new AtomicLong();

    private record Idle(RunnerConnection connection, long expiresAtNs) {}

    /** A connection and whether it carried an earlier exchange. */
    public record AcquiredConnection(RunnerConnection connection, boolean reused) {}

    /**
     * Returns an idle connection, or opens a new one.
     *
     * @param runnerId identity of the runner; a connection is never reused for another identity
     * @param mayReuse whether an idle connection may be used; one that may not stays in the pool
     * @throws IOException if no connection can be opened; nothing has been sent in that case
     */
    public AcquiredConnection acquire(
            String runnerId,
            String address,
            int connectTimeoutMs,
            Predicate<RunnerConnection> mayReuse)
            throws IOException {
        Deque<Idle> idle = idleByRunner.get(runnerId);
        while (idle != null) {
            Idle candidate = pollFirst(idle, mayReuse);
            if (candidate == null) {
                break;
            }
            if (System.nanoTime() < candidate.expiresAtNs()
                    && candidate.connection().isReusable()) {
                return new AcquiredConnection(candidate.connection(), true);
            }
            candidate.connection().abort();
        }
        openedCount.incrementAndGet();
        return new AcquiredConnection(RunnerConnection.open(address, connectTimeoutMs), false);
    }

    /** Removes and returns the first connection that may be used, or null if there is none. */
    private static Idle pollFirst(Deque<Idle> idle, Predicate<RunnerConnection> mayReuse) {
        while (true) {
            Optional<Idle> first =
                    idle.stream()
                            .filter(candidate -> mayReuse.test(candidate.connection()))
                            .findFirst();
            // Another thread may have taken it in the meantime.
            if (first.isEmpty() || idle.remove(first.get())) {
                return first.orElse(null);
            }
        }
    }

    /** Returns a connection to the pool once {@code answer} has been read completely. */
    public void release(String runnerId, RunnerConnection connection, RunnerAnswer answer) {
        long keepAliveMs = answer.keepAliveMs(DEFAULT_KEEP_ALIVE_MS + KEEP_ALIVE_MARGIN_MS);
        long usableMs = keepAliveMs - KEEP_ALIVE_MARGIN_MS;
        if (!answer.persistent() || usableMs <= 0 || !connection.isReusable()) {
            connection.abort();
            return;
        }
        Deque<Idle> idle =
                idleByRunner.computeIfAbsent(runnerId, id -> new ConcurrentLinkedDeque<>());
        if (idle.size() >= MAX_IDLE_PER_RUNNER) {
            connection.abort();
            return;
        }
        connection.detectDisconnectWhileIdle();
        idle.addFirst(new Idle(connection, System.nanoTime() + usableMs * NS_PER_MS));
    }

    /** Closes idle connections that expired, broke, or belong to runners no longer registered. */
    public void evictUnusable(Predicate<String> isRegistered) {
        long nowNs = System.nanoTime();
        idleByRunner.forEach(
                (runnerId, idle) -> {
                    boolean unregistered = !isRegistered.test(runnerId);
                    idle.removeIf(
                            candidate -> {
                                boolean evict =
                                        unregistered
                                                || nowNs >= candidate.expiresAtNs()
                                                || !candidate.connection().isReusable();
                                if (evict) {
                                    candidate.connection().abort();
                                }
                                return evict;
                            });
                    if (unregistered) {
                        idleByRunner.remove(runnerId, idle);
                    }
                });
    }

    /** Closes the idle connections. */
    @Override
    public void close() {
        for (Deque<Idle> idle : idleByRunner.values()) {
            for (Idle next = idle.pollFirst(); next != null; next = idle.pollFirst()) {
                next.connection().abort();
            }
        }
    }

    /** Returns the number of connections opened since the start. */
    public long openedCount() {
        return openedCount.get();
    }
}
