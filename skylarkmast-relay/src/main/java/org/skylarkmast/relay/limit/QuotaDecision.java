package org.skylarkmast.relay.limit;

/** The decision on a request of a workspace by the workspace's allowance. */
public sealed interface QuotaDecision {

    /** The request counts against the allowance; it is given back if the request does not run. */
    record Admitted(QuotaSource source) implements QuotaDecision {}

    /**
     * The request exceeds the allowance.
     *
     * @param retryAfterMs time until a place is expected
     * @param level tokens last known to be left: of the workspace, or of this node's own share
     * @param ageMs time since the granter's last answer, -1 if it has not answered yet
     */
    record Rejected(long retryAfterMs, QuotaSource source, double level, long ageMs)
            implements QuotaDecision {}
}
