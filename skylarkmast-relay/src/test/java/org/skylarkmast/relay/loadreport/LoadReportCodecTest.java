package org.skylarkmast.relay.loadreport;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.limit.RateLimitReport;
import org.skylarkmast.relay.peer.PeerNode;
import org.skylarkmast.relay.quarantine.QuarantineReport;

class LoadReportCodecTest {
    private static final RunnerLoadReport REPORT = new RunnerLoadReport("r", 1, 2, 3, 4, 5);

    @Test
    void readsTotalsThatItWrote() throws IOException {
        LoadReportTotals totals =
                new LoadReportTotals(
                        List.of(REPORT),
                        6,
                        List.of(new RateLimitReport("r", 9.4, 120)),
                        List.of(new PeerNode("p", "127.0.0.1:1")),
                        QuarantineReport.EMPTY);
        byte[] bytes = LedgerCodec.encode(out -> LoadReportCodec.writeTotals(out, totals));
        assertThat(LedgerCodec.decode(bytes, LoadReportCodec::readTotals)).isEqualTo(totals);
    }

    @Test
    void readsTotalsOfEarlierRelease() throws IOException {
        byte[] bytes = LedgerCodec.encode(out -> LoadReportCodec.write(out, List.of(REPORT)));
        assertThat(LedgerCodec.decode(bytes, LoadReportCodec::readTotals))
                .isEqualTo(
                        new LoadReportTotals(
                                List.of(REPORT), 0, List.of(), List.of(), QuarantineReport.EMPTY));
    }

    @Test
    void earlierReleaseReadsTotals() throws IOException {
        LoadReportTotals totals =
                new LoadReportTotals(
                        List.of(REPORT), 6, List.of(), List.of(), QuarantineReport.EMPTY);
        byte[] bytes = LedgerCodec.encode(out -> LoadReportCodec.writeTotals(out, totals));
        assertThat(LedgerCodec.decode(bytes, LoadReportCodec::read)).containsExactly(REPORT);
    }

    @Test
    void readsReportThatItWrote() throws IOException {
        EntryNodeReport report =
                new EntryNodeReport(
                        "n/1",
                        List.of(REPORT),
                        List.of(new RateLimitReport("r", 9.4, 120)),
                        "127.0.0.1:1",
                        QuarantineReport.EMPTY);
        byte[] bytes = LedgerCodec.encode(out -> LoadReportCodec.writeReport(out, report));
        assertThat(LedgerCodec.decode(bytes, LoadReportCodec::readReport)).isEqualTo(report);
    }

    @Test
    void readsReportOfEarlierRelease() throws IOException {
        byte[] bytes =
                LedgerCodec.encode(
                        out -> {
                            out.writeUTF("n/1");
                            LoadReportCodec.write(out, List.of(REPORT));
                        });
        assertThat(LedgerCodec.decode(bytes, LoadReportCodec::readReport))
                .isEqualTo(
                        new EntryNodeReport(
                                "n/1", List.of(REPORT), List.of(), "", QuarantineReport.EMPTY));
    }
}
