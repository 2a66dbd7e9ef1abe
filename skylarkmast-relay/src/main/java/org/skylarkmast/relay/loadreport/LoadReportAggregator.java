package org.skylarkmast.relay.loadreport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.limit.RateLimitReport;
import org.skylarkmast.relay.limit.RateLimitReports;

/**
 * Adds up the load reports of entry nodes and the totals of other storage nodes; thread-safe, no
 * I/O.
 *
 * <p>In a large fleet, one entry node sends a given runner a request only every few seconds, so by
 * itself it detects changes of the runner's speed, and its failures, too late. Totals decay
 * exponentially: work with the half-life {@link #WORK_HALF_LIFE_MS}, ended and failed requests with
 * {@link #FAILURE_HALF_LIFE_MS}.
 */
public final class LoadReportAggregator {

    /** A runner's speed rarely changes, but a slowdown must show within seconds. */
    static final double WORK_HALF_LIFE_MS = 8_000;

    /** Faults of runners appear and disappear within seconds. */
    static final double FAILURE_HALF_LIFE_MS = 3_000;

    /** Age above which a reported number of requests in flight is ignored as out of date. */
    private static final long IN_FLIGHT_MAX_AGE_MS = 3_000;

    /** Age of its last report above which an entry node counts as gone; it reports each second. */
    private static final long REPORTER_MAX_AGE_MS = 5_000;

    /** Time for which a runner or storage node is kept without a new report about or from it. */
    private static final long RETENTION_MS = 60_000;

    private static final double NS_PER_MS = 1e6;

    private final LongSupplier clockNs;
    private final Map<String, RunnerTotals> totalsByIncarnation = new HashMap<>();
    private final Map<String, Long> reportedNsByReporter = new HashMap<>();
    private final Map<String, PeerTotals> totalsByPeer = new HashMap<>();
    private final RateLimitReports rateLimits;

    private static final class RunnerTotals {
        final Map<String, InFlight> inFlightByReporter = new HashMap<>();
        double workMs;
        double workUnits;
        double ended;
        double failed;
        long updatedNs;

        void decay(long nowNs) {
            double ageMs = (nowNs - updatedNs) / NS_PER_MS;
            workMs *= decayFactor(ageMs, WORK_HALF_LIFE_MS);
            workUnits *= decayFactor(ageMs, WORK_HALF_LIFE_MS);
            ended *= decayFactor(ageMs, FAILURE_HALF_LIFE_MS);
            failed *= decayFactor(ageMs, FAILURE_HALF_LIFE_MS);
            updatedNs = nowNs;
        }
    }

    private record InFlight(int count, long reportedNs) {}

    private record PeerTotals(LoadReportTotals totals, long receivedNs) {}

    /**
     * @param clockNs monotonic clock, in ns
     */
    public LoadReportAggregator(LongSupplier clockNs) {
        this.clockNs = clockNs;
        this.rateLimits = new RateLimitReports(clockNs);
    }

    /**
     * Adds what {@code reporter} observed since its last report, and replaces its numbers of
     * requests in flight.
     *
     * @param limits what runners stated to it, or to others, about their rate limits
     */
    public synchronized void report(
            String reporter, List<RunnerLoadReport> loadReports, List<RateLimitReport> limits) {
        rateLimits.merge(limits);
        long nowNs = clockNs.getAsLong();
        reportedNsByReporter.put(reporter, nowNs);
        totalsByIncarnation.values().forEach(totals -> totals.inFlightByReporter.remove(reporter));
        for (RunnerLoadReport loadReport : loadReports) {
            RunnerTotals totals =
                    totalsByIncarnation.computeIfAbsent(
                            loadReport.incarnation(),
                            incarnation -> {
                                RunnerTotals empty = new RunnerTotals();
                                empty.updatedNs = nowNs;
                                return empty;
                            });
            totals.decay(nowNs);
            totals.workMs += loadReport.workMs();
            totals.workUnits += loadReport.workUnits();
            totals.ended += loadReport.ended();
            totals.failed += loadReport.failed();
            if (loadReport.inFlight() > 0) {
                totals.inFlightByReporter.put(reporter, new InFlight(loadReport.inFlight(), nowNs));
            }
        }
        totalsByIncarnation
                .values()
                .removeIf(totals -> ageMs(totals.updatedNs, nowNs) > RETENTION_MS);
    }

    /**
     * Replaces the totals received from another storage node, which cover its own reporters only.
     */
    public synchronized void putPeerTotals(String storageNode, LoadReportTotals totals) {
        rateLimits.merge(totals.rateLimits());
        totalsByPeer.put(storageNode, new PeerTotals(totals, clockNs.getAsLong()));
    }

    /** Returns the totals of the reporters of this storage node. */
    public synchronized LoadReportTotals localTotals() {
        long nowNs = clockNs.getAsLong();
        reportedNsByReporter
                .values()
                .removeIf(reportedNs -> ageMs(reportedNs, nowNs) > REPORTER_MAX_AGE_MS);
        List<RunnerLoadReport> localReports = new ArrayList<>(totalsByIncarnation.size());
        totalsByIncarnation.forEach(
                (incarnation, totals) ->
                        localReports.add(toLoadReport(incarnation, totals, nowNs)));
        return new LoadReportTotals(localReports, reportedNsByReporter.size(), rateLimits.newest());
    }

    /**
     * Returns the totals of all reporters: those of this storage node, and those that other storage
     * nodes have sent.
     */
    public synchronized LoadReportTotals fleetTotals() {
        long nowNs = clockNs.getAsLong();
        totalsByPeer.values().removeIf(peer -> ageMs(peer.receivedNs(), nowNs) > RETENTION_MS);
        Map<String, RunnerLoadReport> merged = new HashMap<>();
        LoadReportTotals local = localTotals();
        local.runners().forEach(loadReport -> merged.put(loadReport.incarnation(), loadReport));
        int entryNodes = local.entryNodes();
        for (PeerTotals peer : totalsByPeer.values()) {
            double ageMs = ageMs(peer.receivedNs(), nowNs);
            entryNodes += ageMs > REPORTER_MAX_AGE_MS ? 0 : peer.totals().entryNodes();
            for (RunnerLoadReport loadReport : peer.totals().runners()) {
                merged.merge(
                        loadReport.incarnation(),
                        decayed(loadReport, ageMs),
                        LoadReportAggregator::add);
            }
        }
        return new LoadReportTotals(List.copyOf(merged.values()), entryNodes, local.rateLimits());
    }

    private static RunnerLoadReport toLoadReport(
            String incarnation, RunnerTotals totals, long nowNs) {
        totals.decay(nowNs);
        totals.inFlightByReporter
                .values()
                .removeIf(reported -> ageMs(reported.reportedNs(), nowNs) > IN_FLIGHT_MAX_AGE_MS);
        int inFlight = 0;
        for (InFlight reported : totals.inFlightByReporter.values()) {
            inFlight += reported.count();
        }
        return new RunnerLoadReport(
                incarnation,
                inFlight,
                totals.workMs,
                totals.workUnits,
                totals.ended,
                totals.failed);
    }

    private static RunnerLoadReport decayed(RunnerLoadReport loadReport, double ageMs) {
        double workFactor = decayFactor(ageMs, WORK_HALF_LIFE_MS);
        double failureFactor = decayFactor(ageMs, FAILURE_HALF_LIFE_MS);
        return new RunnerLoadReport(
                loadReport.incarnation(),
                ageMs > IN_FLIGHT_MAX_AGE_MS ? 0 : loadReport.inFlight(),
                loadReport.workMs() * workFactor,
                loadReport.workUnits() * workFactor,
                loadReport.ended() * failureFactor,
                loadReport.failed() * failureFactor);
    }

    private static RunnerLoadReport add(RunnerLoadReport a, RunnerLoadReport b) {
        return new RunnerLoadReport(
                a.incarnation(),
                a.inFlight() + b.inFlight(),
                a.workMs() + b.workMs(),
                a.workUnits() + b.workUnits(),
                a.ended() + b.ended(),
                a.failed() + b.failed());
    }

    private static double decayFactor(double ageMs, double halfLifeMs) {
        return Math.pow(0.5, ageMs / halfLifeMs);
    }

    private static double ageMs(long sinceNs, long nowNs) {
        return (nowNs - sinceNs) / NS_PER_MS;
    }
}
