package org.skylarkmast.standins.store;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** A monotonic clock in nanoseconds that only {@link #advanceMs} moves. Thread-safe. */
public final class ManualClock implements LongSupplier {
    private final AtomicLong nowNs = new AtomicLong();

    /** Advances the clock by {@code ms} milliseconds. */
    public void advanceMs(long ms) {
        nowNs.addAndGet(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    @Override
    public long getAsLong() {
        return nowNs.get();
    }
}
