package org.skylarkmast.bench.cluster;

import java.io.IOException;
import java.util.function.BooleanSupplier;

/** Waits for conditions that depend on other processes. */
public final class Await {
    private static final long NANOS_PER_MS = 1_000_000;

    private Await() {}

    /**
     * Polls {@code condition} until it holds.
     *
     * @param description the condition in words, for the exception message
     * @throws IOException if it does not hold within {@code timeoutMs}
     */
    public static void until(
            String description, long timeoutMs, long pollMs, BooleanSupplier condition)
            throws IOException {
        if (!holds(timeoutMs, pollMs, condition)) {
            throw new IOException("condition not met within " + timeoutMs + " ms: " + description);
        }
    }

    /** Polls {@code condition} and returns whether it held within {@code timeoutMs}. */
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

    /** Sleeps for {@code ms}; returns early if the thread is interrupted. */
    public static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
