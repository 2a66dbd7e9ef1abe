package org.skylarkmast.bench.history;

/**
 * Times within which every node must apply a change.
 *
 * @param leavingMs from the host list marking a runner as leaving to its last new call
 * @param configurationMs from a configuration being accepted to its use by every node
 */
public record CheckerLimits(long leavingMs, long configurationMs) {

    /** The limits that the product guarantees. */
    public static final CheckerLimits GUARANTEED = new CheckerLimits(5_000, 13_000);
}
