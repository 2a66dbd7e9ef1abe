package org.skylarkmast.relay.limit;

import java.util.Locale;

/** What a decision on a request of a workspace is based on. */
public enum QuotaSource {
    /** The workspace has no limit. */
    UNLIMITED,
    /** Tokens that the granter leased or refused. */
    GRANTER,
    /** This node's share of the rate, while the granter does not answer. */
    OWN_SHARE;

    /** Returns the value of logs and metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
