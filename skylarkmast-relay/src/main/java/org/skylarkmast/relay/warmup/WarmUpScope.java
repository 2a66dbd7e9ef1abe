package org.skylarkmast.relay.warmup;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Marks the thread of a warm-up and all threads that it starts, so that their log lines, which look
 * like those of real requests, can be withheld.
 */
public final class WarmUpScope implements AutoCloseable {
    private static final InheritableThreadLocal<Boolean> MARK = new InheritableThreadLocal<>();

    /** Number of open scopes; threads outside need not look up their mark while it is 0. */
    private static final AtomicInteger OPEN = new AtomicInteger();

    private WarmUpScope() {}

    /** Marks the calling thread until the scope is closed on it. */
    static WarmUpScope open() {
        OPEN.incrementAndGet();
        MARK.set(Boolean.TRUE);
        return new WarmUpScope();
    }

    /** Whether the calling thread belongs to a warm-up that goes on. */
    public static boolean isCurrent() {
        return OPEN.get() > 0 && MARK.get() != null;
    }

    /** Ends the mark of the calling thread; the threads that it started must have ended. */
    @Override
    public void close() {
        MARK.remove();
        OPEN.decrementAndGet();
    }
}
