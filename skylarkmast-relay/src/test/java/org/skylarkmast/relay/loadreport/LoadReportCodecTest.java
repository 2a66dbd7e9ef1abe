package org.skylarkmast.relay.loadreport;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.limit.RateLimitReport;

class LoadReportCodecTest {
    private static final RunnerLoadReport REPORT = new RunnerLoadReport("r", 1, 2, 3, 4, 5);

    @Test
    void readsTotalsThatItWrote() throws IOException {
        LoadReportTotals totals =
                new LoadReportTotals(
                        List.of(REPORT), 6, List.of(new RateLimitReport("r", 9.4, 120)));
        byte[] bytes = LedgerCodec.encode(out -> LoadReportCodec.writeTotals(out, totals));
        assertThat(LedgerCodec.decode(bytes, LoadReportCodec::readTotals)).isEqualTo(totals);
    }

    @Test
    void readsTotalsOfEarlierRelease() throws IOException {
        byte[] bytes = LedgerCodec.encode(out -> LoadReportCodec.write(out, List.of(REPORT)));
        assertThat(LedgerCodec.decode(bytes, LoadReportCodec::readTotals))
                .isEqualTo(new LoadReportTotals(List.of(REPORT), 0, List.of()));
    }

    @Test
    void earlierReleaseReadsTotals() throws IOException {
        LoadReportTotals totals = new LoadReportTotals(List.of(REPORT), 6, List.of());
        byte[] bytes = LedgerCodec.encode(out -> LoadReportCodec.writeTotals(out, totals));
        assertThat(LedgerCodec.decode(bytes, LoadReportCodec::read)).containsExactly(REPORT);
    }
}
