package org.skylarkmast.http;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Accounts for what a server holds for its callers and decides which connections to close when that
 * is too much. Has no threads and no clock: times are those of a monotonic clock that the caller
 * passes in, in ns. Thread-safe.
 *
 * <p>A connection that is selected leaves the account at once, so that its bytes are not counted
 * while it is being closed; {@link #holds} then returns false.
 *
 * @param <K> connection, compared by identity or equality
 */
public final class HoldingAccount<K> {

    /**
     * Part of the bytes that requests in service may hold. The rest remains for requests that are
     * received, so that slow runners do not make every request fail while it is read.
     */
    private static final double SERVING_PART = 0.75;

    /**
     * Part of the bytes that remains after connections were closed. Without the difference, each
     * further byte would lead to another search.
     */
    private static final double PART_AFTER_CLOSING = 0.9;

    private final IntakeLimits limits;
    private final Map<K, Holding> holdings = new HashMap<>();
    private long heldBytes;
    private long servedBytes;
    private long closedForBytes;
    private long closedForConnections;
    private long refused;

    private enum Phase {
        IDLE,
        RECEIVING,
        SERVING
    }

    private static final class Holding {
        private Phase phase = Phase.IDLE;
        private long bytes;
        private long sinceNs;
        private boolean stalled;

        /** Product of bytes held and time held. */
        double cost(long nowNs) {
            return (double) bytes * Math.max(1, nowNs - sinceNs);
        }

        /** Bytes received per ns since the request began. */
        double progress(long nowNs) {
            return (double) bytes / Math.max(1, nowNs - sinceNs);
        }
    }

    public HoldingAccount(IntakeLimits limits) {
        this.limits = limits;
    }

    /**
     * Adds a connection that is idle.
     *
     * @return the connections to close, which may include {@code connection}. Of those that wait
     *     for a request, the one that waits longest is closed, else the slowest sender, else the
     *     one that has not read its answer for longest, else {@code connection}
     */
    public synchronized List<K> open(K connection, long nowNs) {
        Holding opened = new Holding();
        opened.sinceNs = nowNs;
        List<K> closing = new ArrayList<>();
        while (holdings.size() >= limits.maxConnections()) {
            K selected = selectConnection(nowNs);
            closedForConnections++;
            if (selected == null) {
                closing.add(connection);
                return closing;
            }
            remove(selected);
            closing.add(selected);
        }
        holdings.put(connection, opened);
        return closing;
    }

    /**
     * Charges {@code bytes} to the request that {@code connection} receives; the first charge
     * begins the request.
     *
     * @return the connections to close, which may include {@code connection}: those that receive
     *     requests, by the largest product of bytes held and time held
     */
    public synchronized List<K> charge(K connection, long bytes, long nowNs) {
        Holding holding = holdings.get(connection);
        if (holding == null) {
            return List.of();
        }
        if (holding.phase == Phase.IDLE) {
            holding.phase = Phase.RECEIVING;
            holding.sinceNs = nowNs;
        }
        holding.bytes += bytes;
        heldBytes += bytes;
        if (heldBytes <= limits.maxBytes()) {
            return List.of();
        }
        List<K> closing = new ArrayList<>();
        while (heldBytes > limits.maxBytes() * PART_AFTER_CLOSING) {
            K selected =
                    largest(
                            h -> h.phase == Phase.RECEIVING,
                            Comparator.comparingDouble(h -> h.cost(nowNs)));
            if (selected == null) {
                return closing;
            }
            closedForBytes++;
            remove(selected);
            closing.add(selected);
        }
        return closing;
    }

    /**
     * Begins the service of the request that {@code connection} has received. It keeps its bytes
     * until {@link #idle} or {@link #close}, and is not closed for them.
     *
     * @return false if it must not be served, because the connection was selected or requests in
     *     service hold too much
     */
    public synchronized boolean serve(K connection, long nowNs) {
        Holding holding = holdings.get(connection);
        if (holding == null) {
            return false;
        }
        boolean hasRoom =
                servedBytes == 0 || servedBytes + holding.bytes <= limits.maxBytes() * SERVING_PART;
        if (!hasRoom) {
            refused++;
            return false;
        }
        holding.phase = Phase.SERVING;
        holding.sinceNs = nowNs;
        servedBytes += holding.bytes;
        return true;
    }

    /** Records whether the caller of a request in service does not read its answer. */
    public synchronized void markStalled(K connection, boolean stalled) {
        Holding holding = holdings.get(connection);
        if (holding != null) {
            holding.stalled = stalled;
        }
    }

    /** Releases the bytes of a connection, which waits for its next request. */
    public synchronized void idle(K connection, long nowNs) {
        Holding holding = holdings.get(connection);
        if (holding != null && holding.phase != Phase.IDLE) {
            release(holding);
            holding.phase = Phase.IDLE;
            holding.sinceNs = nowNs;
            holding.stalled = false;
        }
    }

    /** Removes a connection that has been closed; has no effect if it is not in the account. */
    public synchronized void close(K connection) {
        remove(connection);
    }

    /** Whether {@code connection} is in the account: neither selected nor closed. */
    public synchronized boolean holds(K connection) {
        return holdings.containsKey(connection);
    }

    /** Returns the number of bytes held. */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    /** Returns the number of connections that were selected because of bytes. */
    public synchronized long closedForBytes() {
        return closedForBytes;
    }

    /** Returns the number of connections that were selected because of their number. */
    public synchronized long closedForConnections() {
        return closedForConnections;
    }

    /** Returns the number of requests refused because those in service hold too much. */
    public synchronized long refused() {
        return refused;
    }

    private K selectConnection(long nowNs) {
        Comparator<Holding> longest = Comparator.comparingLong(h -> nowNs - h.sinceNs);
        K selected = largest(h -> h.phase == Phase.IDLE, longest);
        if (selected == null) {
            selected =
                    largest(
                            h -> h.phase == Phase.RECEIVING,
                            Comparator.comparingDouble(h -> -h.progress(nowNs)));
        }
        return selected == null ? largest(h -> isStalled(h, nowNs), longest) : selected;
    }

    private boolean isStalled(Holding holding, long nowNs) {
        long maxServingNs = TimeUnit.MILLISECONDS.toNanos(limits.maxServingMs());
        return holding.phase == Phase.SERVING
                && (holding.stalled
                        || (maxServingNs > 0 && nowNs - holding.sinceNs > maxServingNs));
    }

    private K largest(Predicate<Holding> candidates, Comparator<Holding> order) {
        K selected = null;
        Holding most = null;
        for (Map.Entry<K, Holding> entry : holdings.entrySet()) {
            Holding holding = entry.getValue();
            if (candidates.test(holding) && (most == null || order.compare(holding, most) > 0)) {
                selected = entry.getKey();
                most = holding;
            }
        }
        return selected;
    }

    private void remove(K connection) {
        Holding holding = holdings.remove(connection);
        if (holding != null) {
            release(holding);
        }
    }

    private void release(Holding holding) {
        heldBytes -= holding.bytes;
        if (holding.phase == Phase.SERVING) {
            servedBytes -= holding.bytes;
        }
        holding.bytes = 0;
    }
}
