package org.skylarkmast.relay.limit;

import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;

/**
 * Requests sends from storage nodes, one for each runner as {@link StorageNodeSelection} chooses;
 * thread-safe.
 */
public final class StorageNodeGrantClient implements SendGrantClient {
    /** The call is answered from memory; a caller waits for it before its request is sent. */
    private static final long CALL_TIMEOUT_MS = 150;

    private final Supplier<LedgerView> views;
    private final StorageNodeClient storageNodes;
    private final UnansweredCalls unanswered;

    /**
     * @param views returns the view in force
     * @param clockNs monotonic clock, in ns
     */
    public StorageNodeGrantClient(
            Supplier<LedgerView> views, StorageNodeClient storageNodes, LongSupplier clockNs) {
        this.views = views;
        this.storageNodes = storageNodes;
        this.unanswered = new UnansweredCalls(clockNs, "send_grants_lost", "send_grants_regained");
    }

    @Override
    public Optional<SendGrant> request(SendRequest request) {
        LedgerView view = views.get();
        Optional<LedgerView.Member> member =
                StorageNodeSelection.select(view, request.incarnation());
        if (member.isEmpty() || unanswered.isPaused(member.get())) {
            return Optional.empty();
        }
        byte[] body = LedgerCodec.encode(out -> SendGrantCodec.writeRequest(out, request));
        SendGrant grant =
                storageNodes.call(
                        member.get(),
                        view.version(),
                        LedgerOperation.ADMIT,
                        body,
                        CALL_TIMEOUT_MS,
                        SendGrantCodec::readGrant);
        unanswered.record(member.get(), grant != null);
        return Optional.ofNullable(grant);
    }
}
