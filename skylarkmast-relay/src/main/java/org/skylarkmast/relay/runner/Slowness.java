package org.skylarkmast.relay.runner;

/**
 * How slow a runner's machine is and for how much longer it is expected to be.
 *
 * @param factor how long work takes, as a multiple of the usual time; above 0
 * @param remainingMs expected time until work takes the usual time again
 */
public record Slowness(double factor, double remainingMs) {

    /** A machine on which work takes the usual time, or that does not say how long it takes. */
    public static final Slowness NONE = new Slowness(1, 0);

    /**
     * Returns by how many ms work is delayed that usually takes {@code workMs}; negative if the
     * machine is faster than usual.
     *
     * <p>While the machine is slow, work of {@code 1 / factor} ms is done in each ms. Work that
     * lasts longer than the rest of that time loses only what is not done in it.
     */
    public double delayMs(double workMs) {
        double delayIfItLastsMs = workMs * (factor - 1);
        double lostInRemainderMs = remainingMs * (1 - 1 / factor);
        return factor >= 1
                ? Math.min(delayIfItLastsMs, lostInRemainderMs)
                : Math.max(delayIfItLastsMs, lostInRemainderMs);
    }
}
