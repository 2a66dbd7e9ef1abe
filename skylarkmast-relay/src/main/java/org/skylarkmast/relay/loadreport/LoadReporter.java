package org.skylarkmast.relay.loadreport;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntConsumer;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.limit.RunnerRateLimits;
import org.skylarkmast.relay.runner.RunnerPool;

/**
 * Sends this entry node's load reports to a storage node and receives the totals of all entry
 * nodes; thread-safe.
 */
public final class LoadReporter {
    /** Call timeout; the next report, a second later, fetches the totals again. */
    private static final long CALL_TIMEOUT_MS = 400;

    private final String reporter;
    private final RunnerPool pool;
    private final RunnerRateLimits rateLimits;
    private final LedgerClient ledger;
    private final IntConsumer entryNodes;
    private final AtomicBoolean reporting = new AtomicBoolean();

    /**
     * @param reporter name of this process, different from that of any earlier process on the host
     * @param entryNodes receives the number of entry nodes that report, 0 if unknown
     */
    public LoadReporter(
            String reporter,
            RunnerPool pool,
            RunnerRateLimits rateLimits,
            LedgerClient ledger,
            IntConsumer entryNodes) {
        this.reporter = reporter;
        this.pool = pool;
        this.rateLimits = rateLimits;
        this.ledger = ledger;
        this.entryNodes = entryNodes;
    }

    /**
     * Sends a report to the nearest storage node; does nothing while the previous report waits for
     * its response.
     */
    public void report() {
        if (!reporting.compareAndSet(false, true)) {
            return;
        }
        try {
            // Load reports whose call fails are not sent again: new observations replace them
            // within seconds.
            List<RunnerLoadReport> observed = pool.drainLoadReports();
            byte[] body =
                    LedgerCodec.encode(
                            out -> {
                                out.writeUTF(reporter);
                                LoadReportCodec.write(out, observed);
                                LoadReportCodec.writeRateLimits(out, rateLimits.reports());
                            });
            LoadReportTotals totals =
                    ledger.callNearest(
                            LedgerOperation.REPORT,
                            body,
                            CALL_TIMEOUT_MS,
                            LoadReportCodec::readTotals);
            if (totals != null) {
                entryNodes.accept(totals.entryNodes());
                rateLimits.apply(totals.rateLimits());
                pool.applyFleetReports(totals.runners(), observed);
            }
        } finally {
            reporting.set(false);
        }
    }
}
