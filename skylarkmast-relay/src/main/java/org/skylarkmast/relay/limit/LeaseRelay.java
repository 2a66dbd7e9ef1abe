package org.skylarkmast.relay.limit;

import java.util.List;
import java.util.Optional;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;

/**
 * Passes requests for leases on from entry nodes that do not reach the granter; used by storage
 * nodes, thread-safe.
 */
public final class LeaseRelay {

    /** Below the time-out of the entry node's call, so that it learns that the granter is away. */
    private static final long CALL_TIMEOUT_MS = 100;

    private final StorageNodeClient storageNodes;
    private final long callTimeoutMs;

    /** Creates a relay that calls through {@code storageNodes}. */
    public LeaseRelay(StorageNodeClient storageNodes) {
        this(storageNodes, CALL_TIMEOUT_MS);
    }

    LeaseRelay(StorageNodeClient storageNodes, long callTimeoutMs) {
        this.storageNodes = storageNodes;
        this.callTimeoutMs = callTimeoutMs;
    }

    /**
     * Calls the granter of the workspaces of {@code request}, which is the same for all of them.
     *
     * @return the grants, or empty if the granter does not answer
     */
    public Optional<List<LeaseGrant>> request(LedgerView view, LeaseRequest request) {
        if (request.items().isEmpty()) {
            return Optional.of(List.of());
        }
        return StorageNodeSelection.select(view, request.items().getFirst().workspace())
                .map(
                        granter ->
                                storageNodes.call(
                                        granter,
                                        view.version(),
                                        LedgerOperation.LEASE,
                                        LedgerCodec.encode(
                                                out -> LeaseCodec.writeRequest(out, request)),
                                        callTimeoutMs,
                                        LeaseCodec::readGrants));
    }
}
