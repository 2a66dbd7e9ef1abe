package org.skylarkmast.relay.storage;

import java.util.List;
import java.util.Set;
import org.skylarkmast.relay.ledger.LedgerView;

/**
 * What storage nodes agree on outside themselves: who is there, who is to leave, which view holds.
 */
public interface StorageNodeRegistry {

    /**
     * Publishes the view after {@code before}.
     *
     * @return whether it was published; if not, another one may have been
     */
    boolean publish(LedgerView before, LedgerView next);

    /** Registered storage nodes. */
    List<LedgerView.Member> registered();

    /** Nodes that operators want emptied. */
    Set<String> retiring();

    /**
     * Reports how far the emptying of {@code node} is.
     *
     * @return whether the report was taken
     */
    boolean reportRetirement(String node, boolean done);

    /** Whether views were read, so that an absent one does not exist. */
    boolean viewKnown();
}
