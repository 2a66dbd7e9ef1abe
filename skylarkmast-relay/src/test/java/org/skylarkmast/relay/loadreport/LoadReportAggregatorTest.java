package org.skylarkmast.relay.loadreport;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.limit.RateLimitReport;
import org.skylarkmast.relay.peer.PeerNode;
import org.skylarkmast.relay.quarantine.QuarantineReport;

/** Tests adding up load reports about a runner, their decay and expiry, and their encoding. */
class LoadReportAggregatorTest {
    private long nowMs;

    private LoadReportAggregator aggregator() {
        return new LoadReportAggregator(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), new Random(1));
    }

    private static RunnerLoadReport loadReport(
            int inFlight, double workMs, double ended, double failed) {
        return new RunnerLoadReport("r", inFlight, workMs, ended, ended, failed);
    }

    @Test
    void addsUpReportersAndOtherStorageNodes() {
        LoadReportAggregator here = aggregator();
        LoadReportAggregator there = aggregator();
        here.report(
                new EntryNodeReport(
                        "a",
                        List.of(loadReport(2, 100, 4, 1)),
                        List.of(),
                        "",
                        QuarantineReport.EMPTY));
        here.report(
                new EntryNodeReport(
                        "b",
                        List.of(loadReport(1, 60, 2, 0)),
                        List.of(),
                        "",
                        QuarantineReport.EMPTY));
        there.report(
                new EntryNodeReport(
                        "c",
                        List.of(loadReport(3, 200, 4, 3)),
                        List.of(),
                        "",
                        QuarantineReport.EMPTY));
        here.putPeerTotals("there", there.localTotals());
        RunnerLoadReport total = here.fleetTotals().runners().getFirst();
        assertThat(total.inFlight()).isEqualTo(6);
        assertThat(total.workMs()).isWithin(0.1).of(360);
        assertThat(total.ended()).isWithin(0.1).of(10);
        assertThat(total.failed()).isWithin(0.1).of(4);
        assertThat(here.localTotals().runners().getFirst().inFlight()).isEqualTo(3);
    }

    @Test
    void reportReplacesItsReportersRequestsInFlight() {
        LoadReportAggregator aggregator = aggregator();
        aggregator.report(
                new EntryNodeReport(
                        "a",
                        List.of(loadReport(5, 0, 0, 0)),
                        List.of(),
                        "",
                        QuarantineReport.EMPTY));
        aggregator.report(
                new EntryNodeReport(
                        "a",
                        List.of(loadReport(2, 10, 1, 0)),
                        List.of(),
                        "",
                        QuarantineReport.EMPTY));
        assertThat(aggregator.fleetTotals().runners().getFirst().inFlight()).isEqualTo(2);
        aggregator.report(
                new EntryNodeReport("a", List.of(), List.of(), "", QuarantineReport.EMPTY));
        assertThat(aggregator.fleetTotals().runners().getFirst().inFlight()).isEqualTo(0);
    }

    @Test
    void requestsInFlightExpireWhenTheirReporterStops() {
        LoadReportAggregator aggregator = aggregator();
        aggregator.report(
                new EntryNodeReport(
                        "a",
                        List.of(loadReport(5, 10, 1, 0)),
                        List.of(),
                        "",
                        QuarantineReport.EMPTY));
        nowMs += 3_100;
        assertThat(aggregator.fleetTotals().runners().getFirst().inFlight()).isEqualTo(0);
    }

    @Test
    void failuresDecay() {
        LoadReportAggregator aggregator = aggregator();
        aggregator.report(
                new EntryNodeReport(
                        "a",
                        List.of(loadReport(0, 100, 8, 8)),
                        List.of(),
                        "",
                        QuarantineReport.EMPTY));
        nowMs += (long) LoadReportAggregator.FAILURE_HALF_LIFE_MS;
        assertThat(aggregator.fleetTotals().runners().getFirst().failed()).isWithin(0.1).of(4);
        nowMs += 10 * (long) LoadReportAggregator.FAILURE_HALF_LIFE_MS;
        assertThat(aggregator.fleetTotals().runners().getFirst().failed()).isLessThan(0.1);
    }

    @Test
    void runnersWithoutReportsExpire() {
        LoadReportAggregator aggregator = aggregator();
        aggregator.report(
                new EntryNodeReport(
                        "a",
                        List.of(loadReport(1, 100, 1, 0)),
                        List.of(),
                        "",
                        QuarantineReport.EMPTY));
        nowMs += 120_000;
        aggregator.report(
                new EntryNodeReport("a", List.of(), List.of(), "", QuarantineReport.EMPTY));
        assertThat(aggregator.fleetTotals().runners()).isEmpty();
    }

    @Test
    void encodingRoundTrips() throws Exception {
        List<RunnerLoadReport> sent = List.of(new RunnerLoadReport("r/17", 3, 12.5, 4, 2, 1));
        byte[] bytes = LedgerCodec.encode(out -> LoadReportCodec.write(out, sent));
        assertThat(LedgerCodec.decode(bytes, LoadReportCodec::read)).isEqualTo(sent);
    }

    @Test
    void countsEntryNodesOfAllStorageNodes() {
        LoadReportAggregator here = aggregator();
        LoadReportAggregator there = aggregator();
        here.report(new EntryNodeReport("a", List.of(), List.of(), "", QuarantineReport.EMPTY));
        here.report(new EntryNodeReport("a", List.of(), List.of(), "", QuarantineReport.EMPTY));
        there.report(new EntryNodeReport("b", List.of(), List.of(), "", QuarantineReport.EMPTY));
        there.report(new EntryNodeReport("c", List.of(), List.of(), "", QuarantineReport.EMPTY));
        here.putPeerTotals("there", there.localTotals());
        assertThat(here.fleetTotals().entryNodes()).isEqualTo(3);
        nowMs += 5_100;
        assertThat(here.fleetTotals().entryNodes()).isEqualTo(0);
    }

    @Test
    void keepsNewestStatementOfEachRunnersRateLimit() {
        LoadReportAggregator here = aggregator();
        LoadReportAggregator there = aggregator();
        here.report(
                new EntryNodeReport(
                        "a",
                        List.of(),
                        List.of(new RateLimitReport("r", 9, 2_000)),
                        "",
                        QuarantineReport.EMPTY));
        there.report(
                new EntryNodeReport(
                        "b",
                        List.of(),
                        List.of(new RateLimitReport("r", 4, 100)),
                        "",
                        QuarantineReport.EMPTY));
        there.report(
                new EntryNodeReport(
                        "c",
                        List.of(),
                        List.of(new RateLimitReport("r", 6, 900)),
                        "",
                        QuarantineReport.EMPTY));
        nowMs += 50;
        here.putPeerTotals("there", there.localTotals());
        assertThat(here.fleetTotals().rateLimits())
                .containsExactly(new RateLimitReport("r", 4, 150));
        nowMs += 30_000;
        assertThat(here.fleetTotals().rateLimits()).isEmpty();
    }

    @Test
    void namesEntryNodesThatTakeRequestsOfOthers() {
        LoadReportAggregator here = aggregator();
        LoadReportAggregator there = aggregator();
        here.report(
                new EntryNodeReport(
                        "a", List.of(), List.of(), "10.0.0.1:7020", QuarantineReport.EMPTY));
        here.report(
                new EntryNodeReport("cut off", List.of(), List.of(), "", QuarantineReport.EMPTY));
        there.report(
                new EntryNodeReport(
                        "b", List.of(), List.of(), "10.0.0.2:7020", QuarantineReport.EMPTY));
        here.putPeerTotals("there", there.localTotals());
        assertThat(here.fleetTotalsFor("a").peers())
                .containsExactly(new PeerNode("b", "10.0.0.2:7020"));
        assertThat(here.fleetTotalsFor("cut off").peers())
                .containsExactly(
                        new PeerNode("a", "10.0.0.1:7020"), new PeerNode("b", "10.0.0.2:7020"));
        nowMs += 2_600;
        assertThat(here.fleetTotalsFor("cut off").peers()).isEmpty();
    }

    @Test
    void namesFewPeersInALargeFleet() {
        LoadReportAggregator aggregator = aggregator();
        for (int i = 0; i < 67; i++) {
            String process = "n" + i;
            aggregator.report(
                    new EntryNodeReport(
                            process,
                            List.of(),
                            List.of(),
                            process + ":7020",
                            QuarantineReport.EMPTY));
        }
        assertThat(aggregator.fleetTotalsFor("n1").peers()).hasSize(4);
        assertThat(aggregator.localTotals().peers()).hasSize(16);
    }
}
