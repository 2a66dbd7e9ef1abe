package org.skylarkmast.relay.loadreport;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.limit.RateLimitReports;
import org.skylarkmast.relay.peer.PeerNode;
import org.skylarkmast.relay.quarantine.CrashReports;

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

    /** Age of its last report above which an entry node is not named as a peer. */
    private static final long PEER_MAX_AGE_MS = 2_500;

    /** Peers named to an entry node: enough that one of them still takes requests. */
    private static final int PEERS_PER_REPORTER = 4;

    /** Peers that a storage node names to another one. */
    private static final int PEERS_EXCHANGED = 16;

    private static final double NS_PER_MS = 1e6;

    private final LongSupplier clockNs;
    private final Random random;
    private final Map<String, RunnerTotals> totalsByIncarnation = new HashMap<>();
    private final Map<String, Reporter> reporters = new HashMap<>();
    private final Map<String, PeerTotals> totalsByPeer = new HashMap<>();
    private final RateLimitReports rateLimits;
    private final CrashReports crashes;

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

    /**
     * An entry node.
     *
     * @param peerAddress where it takes requests of other entry nodes, empty if it takes none
     */
    private record Reporter(String peerAddress, long reportedNs) {}

    private record PeerTotals(LoadReportTotals totals, long receivedNs) {}

    /**
     * @param clockNs monotonic clock, in ns
     * @param random draws peers
     */
    public LoadReportAggregator(LongSupplier clockNs, Random random) {
        this.clockNs = clockNs;
        this.random = random;
        this.rateLimits = new RateLimitReports(clockNs);
        this.crashes = new CrashReports(clockNs);
    }

    /**
     * Adds what an entry node observed since its last report, and replaces its numbers of requests
     * in flight.
     */
    public synchronized void report(EntryNodeReport report) {
        String reporter = report.process();
        rateLimits.merge(report.rateLimits());
        crashes.merge(report.quarantine());
        long nowNs = clockNs.getAsLong();
        reporters.put(reporter, new Reporter(report.peerAddress(), nowNs));
        totalsByIncarnation.values().forEach(totals -> totals.inFlightByReporter.remove(reporter));
        for (RunnerLoadReport loadReport : report.runners()) {
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
        crashes.merge(totals.quarantine());
        totalsByPeer.put(storageNode, new PeerTotals(totals, clockNs.getAsLong()));
    }

    /** Returns the totals of the reporters of this storage node. */
    public synchronized LoadReportTotals localTotals() {
        long nowNs = clockNs.getAsLong();
        reporters
                .values()
                .removeIf(reporter -> ageMs(reporter.reportedNs(), nowNs) > REPORTER_MAX_AGE_MS);
        List<RunnerLoadReport> localReports = new ArrayList<>(totalsByIncarnation.size());
        totalsByIncarnation.forEach(
                (incarnation, totals) ->
                        localReports.add(toLoadReport(incarnation, totals, nowNs)));
        return new LoadReportTotals(
                localReports,
                reporters.size(),
                rateLimits.newest(),
                localPeers(nowNs),
                crashes.current());
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
        List<PeerNode> peers = new ArrayList<>(local.peers());
        for (PeerTotals peer : totalsByPeer.values()) {
            double ageMs = ageMs(peer.receivedNs(), nowNs);
            entryNodes += ageMs > REPORTER_MAX_AGE_MS ? 0 : peer.totals().entryNodes();
            if (ageMs <= PEER_MAX_AGE_MS) {
                peers.addAll(peer.totals().peers());
            }
            for (RunnerLoadReport loadReport : peer.totals().runners()) {
                merged.merge(
                        loadReport.incarnation(),
                        decayed(loadReport, ageMs),
                        LoadReportAggregator::add);
            }
        }
        return new LoadReportTotals(
                List.copyOf(merged.values()),
                entryNodes,
                local.rateLimits(),
                peers,
                local.quarantine());
    }

    /**
     * Returns the totals of all reporters for one of them, with a few other entry nodes drawn at
     * random as its peers.
     */
    public synchronized LoadReportTotals fleetTotalsFor(String reporter) {
        LoadReportTotals totals = fleetTotals();
        List<PeerNode> others = new ArrayList<>(totals.peers());
        others.removeIf(peer -> peer.process().equals(reporter));
        Collections.shuffle(others, random);
        return new LoadReportTotals(
                totals.runners(),
                totals.entryNodes(),
                totals.rateLimits(),
                others.subList(0, Math.min(PEERS_PER_REPORTER, others.size())),
                totals.quarantine());
    }

    /** Entry nodes that take requests of others; a bounded number, in a large fleet drawn anew. */
    private List<PeerNode> localPeers(long nowNs) {
        List<PeerNode> peers = new ArrayList<>();
        reporters.forEach(
                (process, reporter) -> {
                    if (!reporter.peerAddress().isEmpty()
                            && ageMs(reporter.reportedNs(), nowNs) <= PEER_MAX_AGE_MS) {
                        peers.add(new PeerNode(process, reporter.peerAddress()));
                    }
                });
        Collections.shuffle(peers, random);
        return peers.subList(0, Math.min(PEERS_EXCHANGED, peers.size()));
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
