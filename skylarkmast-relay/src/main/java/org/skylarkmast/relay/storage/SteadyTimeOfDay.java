package org.skylarkmast.relay.storage;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The time of day as it was at the start of the process, advanced by the monotonic clock.
 *
 * <p>A clock that is set forward while the process runs would let reservations of running turns
 * count as ended, and records expire early. The time of a suspended host does not count, so records
 * are kept longer, never shorter. Thread-safe.
 */
public final class SteadyTimeOfDay implements LongSupplier {
    private final long startMs;
    private final long startNs;
    private final LongSupplier monotonicNs;

    /**
     * @param wallClockMs time of day as Unix time in ms; read once
     * @param monotonicNs monotonic clock, in ns
     */
    public SteadyTimeOfDay(LongSupplier wallClockMs, LongSupplier monotonicNs) {
        this.monotonicNs = monotonicNs;
        this.startMs = wallClockMs.getAsLong();
        this.startNs = monotonicNs.getAsLong();
    }

    /** Returns Unix time in ms. */
    @Override
    public long getAsLong() {
        return startMs + TimeUnit.NANOSECONDS.toMillis(monotonicNs.getAsLong() - startNs);
    }
}
