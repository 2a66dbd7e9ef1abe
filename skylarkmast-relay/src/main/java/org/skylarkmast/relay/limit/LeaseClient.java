package org.skylarkmast.relay.limit;

import org.skylarkmast.relay.ledger.LedgerView;

/** Requests leases from storage nodes. */
@FunctionalInterface
public interface LeaseClient {

    /**
     * Requests leases; see {@link AllowanceGranter#grant}.
     *
     * @param granter the storage node that is the granter of all workspaces of the request
     * @param view the view by which it was chosen
     */
    LeaseOutcome request(LedgerView.Member granter, LedgerView view, LeaseRequest request);
}
