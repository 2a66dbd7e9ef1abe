package org.skylarkmast.relay.loadreport;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
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
    private final LedgerClient ledger;
    private final AtomicBoolean reporting = new AtomicBoolean();

    /**
     * @param reporter name of this process, different from that of any earlier process on the host
     */
    public LoadReporter(String reporter, RunnerPool pool, LedgerClient ledger) {
        this.reporter = reporter;
        this.pool = pool;
        this.ledger = ledger;
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
                            });
            List<RunnerLoadReport> totals =
                    ledger.callNearest(
                            LedgerOperation.REPORT, body, CALL_TIMEOUT_MS, LoadReportCodec::read);
            if (totals != null) {
                pool.applyFleetReports(totals, observed);
            }
        } finally {
            reporting.set(false);
        }
    }
}
