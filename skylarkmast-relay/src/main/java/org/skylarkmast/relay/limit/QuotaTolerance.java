package org.skylarkmast.relay.limit;

/**
 * By how much a workspace may exceed its allowance in any sliding window, and how the mechanism
 * divides that among its own inaccuracies.
 *
 * @param windowS length of the window, in seconds
 * @param overage part of the allowance in a window by which it may be exceeded, at least 0
 * @param slackRequests requests by which it may be exceeded beside that, at least 0
 */
public record QuotaTolerance(double windowS, double overage, double slackRequests) {

    /** Longest validity of a lease, from the moment at which it was requested. */
    public static final long MAX_LEASE_MS = 400;

    private static final double MS_PER_S = 1e3;

    /**
     * Part of the overage of the rate that leases may take; tokens granted before a window may be
     * used in it for as long as their lease is valid.
     */
    private static final double LEASE_PART = 0.8;

    /** Part of the spare tolerance that a bucket holds beyond the burst. */
    private static final double BUCKET_PART = 0.25;

    /**
     * Part of the spare tolerance with which a granter without history starts. What nodes used
     * without a granter is deducted from it as they report that.
     */
    private static final double RESTART_PART = 0.5;

    /**
     * Part of the spare tolerance for all nodes as they lose the granter. It is what admits the
     * rare requests of small workspaces, of whose rate each node has much less than one request.
     */
    private static final double OWN_SHARE_PART = 0.9;

    /**
     * Part of the spare tolerance for nodes that reach no storage node, at first and again in each
     * window: the granter may grant the whole allowance to others.
     */
    private static final double ISOLATED_PART = 0.25;

    /** Returns the requests by which the allowance may be exceeded in a window. */
    double totalRequests(double requestsPerSecond, double burst) {
        return overage * (requestsPerSecond * windowS + burst) + slackRequests;
    }

    /** Returns the time for which unused tokens may be held, in ms. */
    double leaseMs(double requestsPerSecond, double burst) {
        double coveredMs =
                LEASE_PART * totalRequests(requestsPerSecond, burst) / requestsPerSecond * MS_PER_S;
        return Math.min(MAX_LEASE_MS, coveredMs);
    }

    private double spareRequests(double requestsPerSecond, double burst) {
        double leased = leaseMs(requestsPerSecond, burst) / MS_PER_S * requestsPerSecond;
        return Math.max(0, totalRequests(requestsPerSecond, burst) - leased);
    }

    /**
     * Returns the tokens that a bucket holds at most; at least one, or nothing could be granted.
     */
    double capacity(double requestsPerSecond, double burst) {
        return Math.max(1, burst + BUCKET_PART * spareRequests(requestsPerSecond, burst));
    }

    /**
     * Returns the tokens with which a granter starts that does not know what others granted within
     * the last window.
     */
    double restartTokens(double requestsPerSecond, double burst) {
        return RESTART_PART * spareRequests(requestsPerSecond, burst);
    }

    /**
     * Returns the tokens that all entry nodes together may use at once when they lose the granter.
     */
    double lossTokens(double requestsPerSecond, double burst) {
        return OWN_SHARE_PART * spareRequests(requestsPerSecond, burst);
    }

    /**
     * Returns the tokens that all entry nodes that reach no storage node may use at once, and again
     * in each window.
     */
    double isolatedTokens(double requestsPerSecond, double burst) {
        return ISOLATED_PART * spareRequests(requestsPerSecond, burst);
    }
}
