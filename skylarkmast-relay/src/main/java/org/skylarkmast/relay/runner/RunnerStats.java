package org.skylarkmast.relay.runner;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.relay.loadreport.RunnerLoadReport;

/**
 * Statistics about one incarnation of a runner, from this process's own requests and from the sums
 * of the load reports of all entry nodes (the fleet report); thread-safe.
 */
final class RunnerStats {
    private static final double MOVING_AVERAGE_WEIGHT = 0.2;
    private static final int MAX_CACHED_PARTS = 512;
    private static final int FAILURES_BEFORE_EJECTION = 2;
    private static final long BASE_EJECTION_MS = 500;
    private static final long MAX_EJECTION_MS = 4000;
    private static final long NS_PER_MS = 1_000_000;

    /** Age from which a load reported by the runner no longer indicates its present load. */
    private static final long REPORTED_LOAD_MAX_AGE_MS = 400;

    /** Time after which reported failures count half; faults of runners last a few seconds. */
    private static final double FAILURE_HALF_LIFE_MS = 3_000;

    /**
     * Age from which the speed and failures in a fleet report are ignored; one comes each second.
     */
    private static final long FLEET_STATISTICS_MAX_AGE_MS = 10_000;

    /**
     * Age from which a fleet report no longer indicates the present number of requests in flight.
     */
    private static final long FLEET_LOAD_MAX_AGE_MS = 2_500;

    /** Time in which half of a runner's requests are replaced by others: about one answer. */
    private static final double LOAD_HALF_LIFE_MS = 300;

    /**
     * Age of the counts in a fleet report on arrival: half a second each for the report and for the
     * exchange between storage nodes.
     */
    private static final double FLEET_REPORT_DELAY_MS = 700;

    /** Successful requests with which each runner is credited in addition to those observed. */
    private static final double ASSUMED_SUCCESSES = 3;

    private final Map<String, Boolean> cachedParts =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MAX_CACHED_PARTS;
                }
            };
    private final SlownessHistory slowness = new SlownessHistory();
    private int inFlight;
    private long tokensInFlight;
    private int othersInFlight;
    private boolean hasReportedLoad;
    private long loadReportedAtNs;
    private double ownMsPerUnit;
    private int consecutiveFailures;
    private long ejectedUntilNs;

    private double unreportedMs;
    private double unreportedUnits;
    private int unreportedEnded;
    private int unreportedFailed;

    private RunnerLoadReport fleetReport;
    private int fleetOthersInFlight;
    private long fleetReportAtNs;

    synchronized void recordStart(long tokens) {
        inFlight++;
        tokensInFlight += tokens;
    }

    synchronized void recordEnd(long tokens) {
        inFlight--;
        tokensInFlight -= tokens;
    }

    synchronized void recordLoad(RunnerLoad load, long nowNs) {
        othersInFlight = Math.max(0, load.running() + load.waiting() - inFlight);
        loadReportedAtNs = nowNs;
        hasReportedLoad = true;
        slowness.record(load.slowness(), nowNs);
    }

    /** Records that a request took {@code ms} for {@code units} of work. */
    synchronized void recordSuccess(double ms, double units, List<PromptPart> prompt) {
        consecutiveFailures = 0;
        double sample = ms / Math.max(1, units);
        ownMsPerUnit =
                ownMsPerUnit == 0
                        ? sample
                        : ownMsPerUnit * (1 - MOVING_AVERAGE_WEIGHT)
                                + sample * MOVING_AVERAGE_WEIGHT;
        unreportedMs += ms;
        unreportedUnits += Math.max(1, units);
        unreportedEnded++;
        for (PromptPart part : prompt) {
            cachedParts.put(part.id(), Boolean.TRUE);
        }
    }

    /** Records that the runner rejected a request because it was overloaded. */
    synchronized void recordOverload(int slots, long nowNs) {
        othersInFlight = Math.max(othersInFlight, slots - inFlight);
        loadReportedAtNs = nowNs;
        hasReportedLoad = true;
    }

    /**
     * Records a failure. Consecutive failures eject the runner for a time that doubles with each.
     */
    synchronized void recordFailure(long nowNs) {
        unreportedEnded++;
        unreportedFailed++;
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURES_BEFORE_EJECTION) {
            long ejectionMs =
                    Math.min(
                            MAX_EJECTION_MS,
                            BASE_EJECTION_MS
                                    << Math.min(8, consecutiveFailures - FAILURES_BEFORE_EJECTION));
            ejectedUntilNs = nowNs + ejectionMs * NS_PER_MS;
        }
    }

    /** Records a failure to connect, which ejects the runner at once. */
    synchronized void recordConnectFailure(long nowNs) {
        consecutiveFailures = Math.max(consecutiveFailures, FAILURES_BEFORE_EJECTION - 1);
        recordFailure(nowNs);
    }

    /** Returns the observations since the last call, and the requests now in flight. */
    synchronized RunnerLoadReport drainLoadReport(String incarnation) {
        RunnerLoadReport loadReport =
                new RunnerLoadReport(
                        incarnation,
                        inFlight,
                        unreportedMs,
                        unreportedUnits,
                        unreportedEnded,
                        unreportedFailed);
        unreportedMs = 0;
        unreportedUnits = 0;
        unreportedEnded = 0;
        unreportedFailed = 0;
        return loadReport;
    }

    /**
     * Applies the sum of the load reports of all entry nodes, this process included.
     *
     * @param report the sum for this runner
     * @param ownInFlight requests in flight that this process contributed to the sum
     */
    synchronized void applyFleetReport(RunnerLoadReport report, int ownInFlight, long nowNs) {
        fleetReport = report;
        fleetOthersInFlight = Math.max(0, report.inFlight() - ownInFlight);
        fleetReportAtNs = nowNs;
    }

    /**
     * Returns this runner with its estimates for a request with {@code prompt}.
     *
     * @param meanFleetLoad mean number of requests in flight to a runner of the service
     * @param meanTokens mean tokens of a request to the service, by which those of other entry
     *     nodes are estimated
     * @param sendWaitMs expected time until the runner accepts another request at its rate limit
     */
    synchronized RunnerCandidate toCandidate(
            Runner runner,
            List<PromptPart> prompt,
            double meanFleetLoad,
            double meanTokens,
            double sendWaitMs,
            long nowNs) {
        int cachedTokens = 0;
        for (PromptPart part : prompt) {
            if (!cachedParts.containsKey(part.id())) {
                break;
            }
            cachedTokens += part.tokens();
        }
        boolean ejected = nowNs - ejectedUntilNs < 0 && ejectedUntilNs != 0;
        double load = Math.max(inFlight, estimatedLoad(meanFleetLoad, nowNs));
        return new RunnerCandidate(
                runner,
                load,
                isReportedLoadFresh(nowNs),
                estimatedMsPerUnit(nowNs),
                cachedTokens,
                failureRate(nowNs),
                sendWaitMs,
                slowness.at(nowNs),
                ejected,
                tokensInFlight + (load - inFlight) * meanTokens);
    }

    /** Expected time for a unit of work in ms, 0 if nothing is known. */
    synchronized double expectedMsPerUnit(long nowNs) {
        return estimatedMsPerUnit(nowNs);
    }

    /** Whether the runner reported its load recently enough for it to be used. */
    private boolean isReportedLoadFresh(long nowNs) {
        return hasReportedLoad && nowNs - loadReportedAtNs < REPORTED_LOAD_MAX_AGE_MS * NS_PER_MS;
    }

    /**
     * Requests in flight to this runner from all entry nodes, or -1 without a recent fleet report.
     */
    synchronized double fleetLoad(long nowNs) {
        return isFleetReportFresh(nowNs, FLEET_LOAD_MAX_AGE_MS) ? fleetReport.inFlight() : -1;
    }

    private double estimatedLoad(double meanFleetLoad, long nowNs) {
        if (isReportedLoadFresh(nowNs)) {
            return inFlight + othersInFlight;
        }
        if (isFleetReportFresh(nowNs, FLEET_LOAD_MAX_AGE_MS)) {
            // The count for one runner decays towards the mean of all runners as it ages.
            double ageMs = (nowNs - fleetReportAtNs) / (double) NS_PER_MS + FLEET_REPORT_DELAY_MS;
            double weight = Math.pow(0.5, ageMs / LOAD_HALF_LIFE_MS);
            return inFlight + meanFleetLoad + (fleetOthersInFlight - meanFleetLoad) * weight;
        }
        return inFlight + othersInFlight / 2.0;
    }

    private double estimatedMsPerUnit(long nowNs) {
        boolean hasFleetSpeed =
                isFleetReportFresh(nowNs, FLEET_STATISTICS_MAX_AGE_MS)
                        && fleetReport.workUnits() >= 1;
        return hasFleetSpeed ? fleetReport.workMs() / fleetReport.workUnits() : ownMsPerUnit;
    }

    private double failureRate(long nowNs) {
        double failed = unreportedFailed;
        double ended = unreportedEnded;
        if (isFleetReportFresh(nowNs, FLEET_STATISTICS_MAX_AGE_MS)) {
            double weight =
                    Math.pow(
                            0.5,
                            (nowNs - fleetReportAtNs) / (double) NS_PER_MS / FAILURE_HALF_LIFE_MS);
            failed += fleetReport.failed() * weight;
            ended += fleetReport.ended() * weight;
        }
        return failed / (ended + ASSUMED_SUCCESSES);
    }

    private boolean isFleetReportFresh(long nowNs, long maxAgeMs) {
        return fleetReport != null && nowNs - fleetReportAtNs < maxAgeMs * NS_PER_MS;
    }
}
