package org.skylarkmast.relay.loadreport;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.limit.RunnerRateLimits;
import org.skylarkmast.relay.peer.PeerDirectory;
import org.skylarkmast.relay.quarantine.Quarantine;
import org.skylarkmast.relay.runner.RunnerPool;

/**
 * Sends this entry node's load reports to a storage node and receives the totals of all entry
 * nodes; thread-safe.
 */
public final class LoadReporter {
    /** Call timeout; the next report, a second later, fetches the totals again. */
    private static final long CALL_TIMEOUT_MS = 400;

    private final String process;
    private final RunnerPool pool;
    private final RunnerRateLimits rateLimits;
    private final Quarantine quarantine;
    private final PeerDirectory peers;
    private final Supplier<String> peerAddress;
    private final LedgerClient ledger;
    private final IntConsumer entryNodes;
    private final AtomicBoolean reporting = new AtomicBoolean();

    /**
     * @param process name of this process, different from that of any earlier process on the host
     * @param peers receives the entry nodes that take requests of this one
     * @param peerAddress returns the address at which this node takes requests of other entry
     *     nodes, empty while it takes none
     * @param entryNodes receives the number of entry nodes that report, 0 if unknown
     */
    public LoadReporter(
            String process,
            RunnerPool pool,
            RunnerRateLimits rateLimits,
            Quarantine quarantine,
            PeerDirectory peers,
            Supplier<String> peerAddress,
            LedgerClient ledger,
            IntConsumer entryNodes) {
        this.process = process;
        this.pool = pool;
        this.rateLimits = rateLimits;
        this.quarantine = quarantine;
        this.peers = peers;
        this.peerAddress = peerAddress;
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
            EntryNodeReport report =
                    new EntryNodeReport(
                            process,
                            observed,
                            rateLimits.reports(),
                            peerAddress.get(),
                            quarantine.reports());
            byte[] body = LedgerCodec.encode(out -> LoadReportCodec.writeReport(out, report));
            LoadReportTotals totals =
                    ledger.callNearest(
                            LedgerOperation.REPORT,
                            body,
                            CALL_TIMEOUT_MS,
                            LoadReportCodec::readTotals);
            if (totals != null) {
                entryNodes.accept(totals.entryNodes());
                peers.replace(totals.peers());
                rateLimits.apply(totals.rateLimits());
                quarantine.apply(totals.quarantine());
                pool.applyFleetReports(totals.runners(), observed);
            }
        } finally {
            reporting.set(false);
        }
    }
}
