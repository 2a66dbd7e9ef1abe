package org.skylarkmast.relay.limit;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;

/**
 * Requests leases from storage nodes over HTTP; thread-safe.
 *
 * <p>If the granter does not answer, another storage node is asked to pass the request on: it tells
 * a cut between this node and the granter from the loss of the granter.
 */
public final class StorageNodeLeaseClient implements LeaseClient {

    /** The call is answered from memory; callers wait for it before their requests are sent. */
    private static final long CALL_TIMEOUT_MS = 150;

    /** Storage nodes that are asked to pass a request on: callers wait for each that is silent. */
    private static final int MAX_RELAYS = 2;

    private final StorageNodeClient storageNodes;
    private final long callTimeoutMs;
    private final UnansweredCalls unanswered;

    /**
     * @param clockNs monotonic clock, in ns
     */
    public StorageNodeLeaseClient(StorageNodeClient storageNodes, LongSupplier clockNs) {
        this(storageNodes, clockNs, CALL_TIMEOUT_MS);
    }

    StorageNodeLeaseClient(
            StorageNodeClient storageNodes, LongSupplier clockNs, long callTimeoutMs) {
        this.storageNodes = storageNodes;
        this.callTimeoutMs = callTimeoutMs;
        this.unanswered =
                new UnansweredCalls(clockNs, "quota_contact_lost", "quota_contact_regained");
    }

    @Override
    public LeaseOutcome request(LedgerView.Member granter, LedgerView view, LeaseRequest request) {
        byte[] body = LedgerCodec.encode(out -> LeaseCodec.writeRequest(out, request));
        if (!unanswered.isPaused(granter)) {
            List<LeaseGrant> grants =
                    call(granter, view, LedgerOperation.LEASE, body, LeaseCodec::readGrants);
            unanswered.record(granter, grants != null);
            if (grants != null && grants.size() == request.items().size()) {
                return new LeaseOutcome.Granted(grants);
            }
        }
        List<LedgerView.Member> relays =
                view.members().stream()
                        .filter(member -> !member.equals(granter))
                        .filter(member -> !unanswered.isPaused(member))
                        .limit(MAX_RELAYS)
                        .toList();
        for (LedgerView.Member member : relays) {
            Optional<List<LeaseGrant>> relayed =
                    call(member, view, LedgerOperation.RELAY_LEASE, body, LeaseCodec::readRelayed);
            unanswered.record(member, relayed != null);
            if (relayed != null) {
                return relayed.filter(grants -> grants.size() == request.items().size())
                        .<LeaseOutcome>map(LeaseOutcome.Granted::new)
                        .orElseGet(LeaseOutcome.GranterAway::new);
            }
        }
        return new LeaseOutcome.Isolated();
    }

    private <T> T call(
            LedgerView.Member member,
            LedgerView view,
            LedgerOperation operation,
            byte[] body,
            LedgerCodec.Reader<T> reader) {
        return storageNodes.call(member, view.version(), operation, body, callTimeoutMs, reader);
    }
}
