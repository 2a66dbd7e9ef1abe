package org.skylarkmast.bench.history;

/**
 * Times within which changes must have spread.
 *
 * @param leavingMs after the host list names a runner as leaving
 * @param configurationMs after a configuration was accepted
 */
public record CheckerLimits(long leavingMs, long configurationMs) {

    /** The product's promises. */
    public static final CheckerLimits PROMISED = new CheckerLimits(5_000, 13_000);
}
