package org.skylarkmast.relay.loadreport;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;

/** Fetches the totals of the other storage nodes; used by one thread. */
public final class LoadReportExchange {

    /** Call timeout; totals that arrive much later are of no use. */
    private static final long CALL_TIMEOUT_MS = 400;

    private static final byte[] NO_BODY = {};

    private final LoadReportAggregator aggregator;
    private final StorageNodeClient storageNodes;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

    /** Creates an exchange that puts the fetched totals into {@code aggregator}. */
    public LoadReportExchange(LoadReportAggregator aggregator, StorageNodeClient storageNodes) {
        this.aggregator = aggregator;
        this.storageNodes = storageNodes;
    }

    /**
     * Requests the totals of all members of {@code view} except {@code self}, without waiting for
     * their responses.
     */
    public void fetchAll(LedgerView view, LedgerView.Member self) {
        for (LedgerView.Member member : view.members()) {
            if (!member.equals(self)) {
                executor.execute(() -> fetch(view, member));
            }
        }
    }

    private void fetch(LedgerView view, LedgerView.Member member) {
        LoadReportTotals totals =
                storageNodes.call(
                        member,
                        view.version(),
                        LedgerOperation.TALLIES,
                        NO_BODY,
                        CALL_TIMEOUT_MS,
                        LoadReportCodec::readTotals);
        if (totals != null) {
            aggregator.putPeerTotals(member.node(), totals);
        }
    }
}
