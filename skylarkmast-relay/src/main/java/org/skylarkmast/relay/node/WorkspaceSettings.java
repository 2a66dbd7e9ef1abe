package org.skylarkmast.relay.node;

import org.skylarkmast.relay.limit.QuotaTolerance;

/**
 * What the operators promise about callers' keys and the allowances of workspaces.
 *
 * @param keyRevocationMs time after the store has acknowledged the withdrawal of a key from which
 *     no request that is sent with it may run; 0 if there is no such bound
 * @param quotaWindowS length of the sliding window in which requests are counted against an
 *     allowance, in seconds
 * @param quotaOverage part of an allowance by which it may be exceeded, at least 0
 * @param quotaSlack requests by which an allowance may be exceeded beside that, at least 0
 */
public record WorkspaceSettings(
        long keyRevocationMs, double quotaWindowS, double quotaOverage, double quotaSlack) {

    /** No bound on the use of withdrawn keys, and allowances that are kept exactly. */
    public static final WorkspaceSettings DEFAULT = new WorkspaceSettings(0, 5, 0, 0);

    /** Returns by how much allowances may be exceeded. */
    QuotaTolerance tolerance() {
        return new QuotaTolerance(quotaWindowS, quotaOverage, quotaSlack);
    }
}
