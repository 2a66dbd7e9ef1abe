package org.skylarkmast.relay.loadreport;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;

/** Fetches what the other storage nodes added up; used by one thread. */
public final class LoadReportExchange {

    /** Longest wait for another storage node; its sums are of no use much later. */
    private static final long CALL_TIMEOUT_MS = 400;

    private static final byte[] NO_BODY = {};

    private final LoadReportAggregator book;
    private final StorageNodeClient storageNodes;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

    /** Creates an exchange that fills {@code book}. */
    public LoadReportExchange(LoadReportAggregator book, StorageNodeClient storageNodes) {
        this.book = book;
        this.storageNodes = storageNodes;
    }

    /** Asks all members of {@code view} but {@code self}, without waiting for their answers. */
    public void round(LedgerView view, LedgerView.Member self) {
        for (LedgerView.Member member : view.members()) {
            if (!member.equals(self)) {
                executor.execute(() -> ask(view, member));
            }
        }
    }

    private void ask(LedgerView view, LedgerView.Member member) {
        List<RunnerLoadReport> loadReports =
                storageNodes.call(
                        member,
                        view.version(),
                        LedgerOperation.TALLIES,
                        NO_BODY,
                        CALL_TIMEOUT_MS,
                        LoadReportCodec::read);
        if (loadReports != null) {
            book.told(member.node(), loadReports);
        }
    }
}
