package org.skylarkmast.relay.http;

import java.io.IOException;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicLong;

/** Idle connections to runners, kept for reuse by address and runner. Thread-safe. */
public final class RunnerConnections {

    /** Idle time after which a connection is not used if the runner named no timeout. */
    private static final long DEFAULT_KEEP_ALIVE_MS = 1000;

    /** Part of the runner's timeout that is left unused, as both sides' clocks and links differ. */
    private static final long KEEP_ALIVE_MARGIN_MS = 700;

    private static final int MAX_IDLE_PER_RUNNER = 32;
    private static final long NS_PER_MS = 1_000_000;

    private final Map<String, Deque<Idle>> idleByRunner = new ConcurrentHashMap<>();
    private final AtomicLong opened = new AtomicLong();

    private record Idle(RunnerConnection connection, long untilNs) {}

    /** A connection and whether it was used before. */
    public record Lent(RunnerConnection connection, boolean reused) {}

    /**
     * Takes an idle connection or opens one.
     *
     * @param key identity of the runner; a connection never outlives it
     * @throws IOException if none can be opened; nothing was sent then
     */
    public Lent take(String key, String address, int connectTimeoutMs) throws IOException {
        Deque<Idle> idle = idleByRunner.get(key);
        while (idle != null) {
            Idle kept = idle.pollFirst();
            if (kept == null) {
                break;
            }
            if (System.nanoTime() < kept.untilNs() && kept.connection().fit()) {
                return new Lent(kept.connection(), true);
            }
            kept.connection().abort();
        }
        opened.incrementAndGet();
        return new Lent(RunnerConnection.open(address, connectTimeoutMs), false);
    }

    /** Keeps a connection whose exchange ended with {@code answer} read whole. */
    public void giveBack(String key, RunnerConnection connection, RunnerAnswer answer) {
        long keepMs = answer.keepAliveMs(DEFAULT_KEEP_ALIVE_MS + KEEP_ALIVE_MARGIN_MS);
        long usableMs = keepMs - KEEP_ALIVE_MARGIN_MS;
        if (!answer.persistent() || usableMs <= 0 || !connection.fit()) {
            connection.abort();
            return;
        }
        Deque<Idle> idle = idleByRunner.computeIfAbsent(key, name -> new ConcurrentLinkedDeque<>());
        if (idle.size() >= MAX_IDLE_PER_RUNNER) {
            connection.abort();
            return;
        }
        connection.watchIdle();
        idle.addFirst(new Idle(connection, System.nanoTime() + usableMs * NS_PER_MS));
    }

    /** Closes idle connections past their time and those of runners that are gone. */
    public void sweep(java.util.function.Predicate<String> present) {
        long nowNs = System.nanoTime();
        idleByRunner.forEach(
                (key, idle) -> {
                    boolean gone = !present.test(key);
                    idle.removeIf(
                            kept -> {
                                boolean drop =
                                        gone || nowNs >= kept.untilNs() || !kept.connection().fit();
                                if (drop) {
                                    kept.connection().abort();
                                }
                                return drop;
                            });
                    if (gone) {
                        idleByRunner.remove(key, idle);
                    }
                });
    }

    /** Connections opened so far. */
    public long opened() {
        return opened.get();
    }
}
