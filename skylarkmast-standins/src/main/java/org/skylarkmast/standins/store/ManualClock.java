package org.skylarkmast.standins.store;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** A monotonic clock in nanoseconds that moves only when told to; thread-safe. */
public final class ManualClock implements LongSupplier {
    private final AtomicLong nowNs = new AtomicLong();

    /** Moves the clock on by {@code ms}. */
    public void advanceMs(long ms) {
        nowNs.addAndGet(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    @Override
    public long getAsLong() {
        return nowNs.get();
    }
}
