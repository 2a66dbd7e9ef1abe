package org.skylarkmast.bench.cluster;

import java.io.IOException;
import java.util.function.BooleanSupplier;

/** Waits for a condition that other processes bring about. */
public final class Await {
    private static final long NANOS_PER_MS = 1_000_000;

    private Await() {}

    /**
     * Polls {@code condition} until it holds.
     *
     * @param what the condition in words, for the error
     * @throws IOException if it does not hold within {@code timeoutMs}
     */
    public static void until(String what, long timeoutMs, long pollMs, BooleanSupplier condition)
            throws IOException {
        if (!holds(timeoutMs, pollMs, condition)) {
            throw new IOException("not within " + timeoutMs + " ms: " + what);
        }
    }

    /** Polls {@code condition} and tells whether it held within {@code timeoutMs}. */
    public static boolean holds(long timeoutMs, long pollMs, BooleanSupplier condition) {
        long deadlineNs = System.nanoTime() + timeoutMs * NANOS_PER_MS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs) {
                return false;
            }
            pause(pollMs);
        }
        return true;
    }

    /** Sleeps for {@code ms}, less if the thread is interrupted. */
    public static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
