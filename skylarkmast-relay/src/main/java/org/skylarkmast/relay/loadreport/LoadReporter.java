package org.skylarkmast.relay.loadreport;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.runner.RunnerPool;

/** Reports what this entry node saw of runners and takes what the fleet saw; thread-safe. */
public final class LoadReporter {
    /** Longest wait for the sums, which come again a second later. */
    private static final long CALL_TIMEOUT_MS = 400;

    private final String reporter;
    private final RunnerPool pool;
    private final LedgerClient ledger;
    private final AtomicBoolean underWay = new AtomicBoolean();

    /**
     * @param reporter name of this process, other than that of any before it on the host
     */
    public LoadReporter(String reporter, RunnerPool pool, LedgerClient ledger) {
        this.reporter = reporter;
        this.pool = pool;
        this.ledger = ledger;
    }

    /**
     * Reports to the nearest storage node; skipped while the report before waits for its answer.
     */
    public void report() {
        if (!underWay.compareAndSet(false, true)) {
            return;
        }
        try {
            // What a lost answer leaves out of the sums is seen again within seconds.
            List<RunnerLoadReport> seen = pool.drainLoadReports();
            byte[] body =
                    LedgerCodec.encode(
                            out -> {
                                out.writeUTF(reporter);
                                LoadReportCodec.write(out, seen);
                            });
            List<RunnerLoadReport> all =
                    ledger.askNearest(
                            LedgerOperation.REPORT, body, CALL_TIMEOUT_MS, LoadReportCodec::read);
            if (all != null) {
                pool.applyFleetReports(all, seen);
            }
        } finally {
            underWay.set(false);
        }
    }
}
