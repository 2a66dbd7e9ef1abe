package org.skylarkmast.relay.loadreport;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.skylarkmast.relay.ledger.LedgerCodec;

/** What the fleet's sums say about a runner. */
class LoadReportAggregatorTest {
    private long nowMs;

    private LoadReportAggregator book() {
        return new LoadReportAggregator(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    private static RunnerLoadReport loadReport(
            int underWay, double ms, double ended, double failed) {
        return new RunnerLoadReport("r", underWay, ms, ended, ended, failed);
    }

    @Test
    void addsUpReportersAndOtherStorageNodes() {
        LoadReportAggregator here = book();
        LoadReportAggregator there = book();
        here.report("a", List.of(loadReport(2, 100, 4, 1)));
        here.report("b", List.of(loadReport(1, 60, 2, 0)));
        there.report("c", List.of(loadReport(3, 200, 4, 3)));
        here.told("there", there.own());
        RunnerLoadReport all = here.all().getFirst();
        assertThat(all.underWay()).isEqualTo(6);
        assertThat(all.workMs()).isWithin(0.1).of(360);
        assertThat(all.ended()).isWithin(0.1).of(10);
        assertThat(all.failed()).isWithin(0.1).of(4);
        assertThat(here.own().getFirst().underWay()).isEqualTo(3);
    }

    @Test
    void aReportReplacesTheReportersCountOfRequestsUnderWay() {
        LoadReportAggregator book = book();
        book.report("a", List.of(loadReport(5, 0, 0, 0)));
        book.report("a", List.of(loadReport(2, 10, 1, 0)));
        assertThat(book.all().getFirst().underWay()).isEqualTo(2);
        book.report("a", List.of());
        assertThat(book.all().getFirst().underWay()).isEqualTo(0);
    }

    @Test
    void whatANodeThatDiedHadUnderWayIsForgotten() {
        LoadReportAggregator book = book();
        book.report("a", List.of(loadReport(5, 10, 1, 0)));
        nowMs += 3_100;
        assertThat(book.all().getFirst().underWay()).isEqualTo(0);
    }

    @Test
    void oldFailuresCountLess() {
        LoadReportAggregator book = book();
        book.report("a", List.of(loadReport(0, 100, 8, 8)));
        nowMs += (long) LoadReportAggregator.FAILURE_HALF_LIFE_MS;
        assertThat(book.all().getFirst().failed()).isWithin(0.1).of(4);
        nowMs += 10 * (long) LoadReportAggregator.FAILURE_HALF_LIFE_MS;
        assertThat(book.all().getFirst().failed()).isLessThan(0.1);
    }

    @Test
    void runnersThatNobodyNamesAreForgotten() {
        LoadReportAggregator book = book();
        book.report("a", List.of(loadReport(1, 100, 1, 0)));
        nowMs += 120_000;
        book.report("a", List.of());
        assertThat(book.all()).isEmpty();
    }

    @Test
    void surviveTheWire() throws Exception {
        List<RunnerLoadReport> sent = List.of(new RunnerLoadReport("r/17", 3, 12.5, 4, 2, 1));
        byte[] bytes = LedgerCodec.encode(out -> LoadReportCodec.write(out, sent));
        assertThat(LedgerCodec.decode(bytes, LoadReportCodec::read)).isEqualTo(sent);
    }
}
