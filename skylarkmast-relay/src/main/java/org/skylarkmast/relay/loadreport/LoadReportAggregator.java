package org.skylarkmast.relay.loadreport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Adds up what entry nodes report and what other storage nodes added up; thread-safe, no I/O.
 *
 * <p>Answers fleets in which one entry node sends a runner a request only every few seconds and so
 * learns its speed and failures too late. Old work loses weight by half each {@link
 * #WORK_HALF_LIFE_MS}, old failures each {@link #FAILURE_HALF_LIFE_MS}.
 */
public final class LoadReportAggregator {

    /** A runner's speed hardly changes, but a slowdown must show within seconds. */
    static final double WORK_HALF_LIFE_MS = 8_000;

    /** Faults of runners come and go within seconds. */
    static final double FAILURE_HALF_LIFE_MS = 3_000;

    /** Age at which a count of requests under way says nothing any more. */
    private static final long UNDER_WAY_MAX_AGE_MS = 3_000;

    /** Age at which a runner or storage node that is not mentioned is forgotten. */
    private static final long FORGET_MS = 60_000;

    private static final double NS_PER_MS = 1e6;

    private final LongSupplier clockNs;
    private final Map<String, Sum> sums = new HashMap<>();
    private final Map<String, Told> toldByPeer = new HashMap<>();

    private static final class Sum {
        final Map<String, UnderWay> underWayByReporter = new HashMap<>();
        double workMs;
        double workUnits;
        double ended;
        double failed;
        long updatedNs;

        void decay(long nowNs) {
            double ageMs = (nowNs - updatedNs) / NS_PER_MS;
            workMs *= weight(ageMs, WORK_HALF_LIFE_MS);
            workUnits *= weight(ageMs, WORK_HALF_LIFE_MS);
            ended *= weight(ageMs, FAILURE_HALF_LIFE_MS);
            failed *= weight(ageMs, FAILURE_HALF_LIFE_MS);
            updatedNs = nowNs;
        }
    }

    private record UnderWay(int count, long atNs) {}

    private record Told(List<RunnerLoadReport> loadReports, long atNs) {}

    /**
     * @param clockNs steady clock, in ns
     */
    public LoadReportAggregator(LongSupplier clockNs) {
        this.clockNs = clockNs;
    }

    /** Takes what {@code reporter} saw since its last report, and what it has under way now. */
    public synchronized void report(String reporter, List<RunnerLoadReport> seen) {
        long nowNs = clockNs.getAsLong();
        sums.values().forEach(sum -> sum.underWayByReporter.remove(reporter));
        for (RunnerLoadReport loadReport : seen) {
            Sum sum =
                    sums.computeIfAbsent(
                            loadReport.incarnation(),
                            incarnation -> {
                                Sum empty = new Sum();
                                empty.updatedNs = nowNs;
                                return empty;
                            });
            sum.decay(nowNs);
            sum.workMs += loadReport.workMs();
            sum.workUnits += loadReport.workUnits();
            sum.ended += loadReport.ended();
            sum.failed += loadReport.failed();
            if (loadReport.underWay() > 0) {
                sum.underWayByReporter.put(reporter, new UnderWay(loadReport.underWay(), nowNs));
            }
        }
        sums.values().removeIf(sum -> ageMs(sum.updatedNs, nowNs) > FORGET_MS);
    }

    /** Takes what another storage node added up from its own reporters. */
    public synchronized void told(String storageNode, List<RunnerLoadReport> loadReports) {
        toldByPeer.put(storageNode, new Told(List.copyOf(loadReports), clockNs.getAsLong()));
    }

    /** The sums of this storage node's own reporters. */
    public synchronized List<RunnerLoadReport> own() {
        long nowNs = clockNs.getAsLong();
        List<RunnerLoadReport> own = new ArrayList<>(sums.size());
        sums.forEach((incarnation, sum) -> own.add(loadReport(incarnation, sum, nowNs)));
        return own;
    }

    /** The sums of all reporters, as far as other storage nodes told theirs. */
    public synchronized List<RunnerLoadReport> all() {
        long nowNs = clockNs.getAsLong();
        toldByPeer.values().removeIf(told -> ageMs(told.atNs(), nowNs) > FORGET_MS);
        Map<String, RunnerLoadReport> all = new HashMap<>();
        own().forEach(loadReport -> all.put(loadReport.incarnation(), loadReport));
        for (Told told : toldByPeer.values()) {
            double ageMs = ageMs(told.atNs(), nowNs);
            for (RunnerLoadReport loadReport : told.loadReports()) {
                all.merge(
                        loadReport.incarnation(),
                        aged(loadReport, ageMs),
                        LoadReportAggregator::plus);
            }
        }
        return List.copyOf(all.values());
    }

    private static RunnerLoadReport loadReport(String incarnation, Sum sum, long nowNs) {
        sum.decay(nowNs);
        sum.underWayByReporter
                .values()
                .removeIf(underWay -> ageMs(underWay.atNs(), nowNs) > UNDER_WAY_MAX_AGE_MS);
        int underWay = 0;
        for (UnderWay reported : sum.underWayByReporter.values()) {
            underWay += reported.count();
        }
        return new RunnerLoadReport(
                incarnation, underWay, sum.workMs, sum.workUnits, sum.ended, sum.failed);
    }

    private static RunnerLoadReport aged(RunnerLoadReport loadReport, double ageMs) {
        double workWeight = weight(ageMs, WORK_HALF_LIFE_MS);
        double failureWeight = weight(ageMs, FAILURE_HALF_LIFE_MS);
        return new RunnerLoadReport(
                loadReport.incarnation(),
                ageMs > UNDER_WAY_MAX_AGE_MS ? 0 : loadReport.underWay(),
                loadReport.workMs() * workWeight,
                loadReport.workUnits() * workWeight,
                loadReport.ended() * failureWeight,
                loadReport.failed() * failureWeight);
    }

    private static RunnerLoadReport plus(RunnerLoadReport a, RunnerLoadReport b) {
        return new RunnerLoadReport(
                a.incarnation(),
                a.underWay() + b.underWay(),
                a.workMs() + b.workMs(),
                a.workUnits() + b.workUnits(),
                a.ended() + b.ended(),
                a.failed() + b.failed());
    }

    private static double weight(double ageMs, double halfLifeMs) {
        return Math.pow(0.5, ageMs / halfLifeMs);
    }

    private static double ageMs(long atNs, long nowNs) {
        return (nowNs - atNs) / NS_PER_MS;
    }
}
