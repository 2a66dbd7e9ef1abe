package org.skylarkmast.relay.limit;

import java.util.List;

/** The outcome of a request for leases. */
public sealed interface LeaseOutcome {

    /**
     * The granter answered.
     *
     * @param grants the grants for the items of the request, in their order
     */
    record Granted(List<LeaseGrant> grants) implements LeaseOutcome {}

    /**
     * The granter answers neither this node nor another storage node, so it grants to nobody as far
     * as can be known: nodes may use their shares of the rate.
     */
    record GranterAway() implements LeaseOutcome {}

    /**
     * No storage node answered. The granter may grant the whole rate to other nodes, so this one
     * may only use its part of the tolerance.
     */
    record Isolated() implements LeaseOutcome {}
}
