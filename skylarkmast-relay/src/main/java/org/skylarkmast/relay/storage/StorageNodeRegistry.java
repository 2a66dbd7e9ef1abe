package org.skylarkmast.relay.storage;

import java.util.List;
import java.util.Set;
import org.skylarkmast.relay.ledger.LedgerView;

/**
 * Shared state of the storage nodes, held outside them: registered storage nodes, hosts being
 * retired, and the current view.
 */
public interface StorageNodeRegistry {

    /**
     * Publishes {@code next} if the current view is still {@code before}.
     *
     * @return whether it was published; if not, another view may have been published meanwhile
     */
    boolean publish(LedgerView before, LedgerView next);

    /** The registered storage nodes. */
    List<LedgerView.Member> registered();

    /** Names of the hosts that operators are retiring. */
    Set<String> retiring();

    /**
     * Reports the progress of the retirement of {@code node}.
     *
     * @param done true once the node has left the view and the others can bear the loss of one
     *     more, false while the retirement is in progress
     * @return whether the report was stored
     */
    boolean reportRetirement(String node, boolean done);

    /** Whether the registry has been read, so that a missing view is known not to exist. */
    boolean viewKnown();
}
