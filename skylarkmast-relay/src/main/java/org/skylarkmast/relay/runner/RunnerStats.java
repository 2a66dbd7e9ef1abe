package org.skylarkmast.relay.runner;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.relay.loadreport.RunnerLoadReport;

/**
 * What is known about one incarnation of a runner: what this process saw, and what the fleet saw;
 * thread-safe.
 */
final class RunnerStats {
    private static final double NEW_SAMPLE_WEIGHT = 0.2;
    private static final int MAX_PARTS = 512;
    private static final int STRIKES_TO_AVOID = 2;
    private static final long FIRST_AVOID_MS = 500;
    private static final long MAX_AVOID_MS = 4000;
    private static final long NS_PER_MS = 1_000_000;

    /** Age at which a reported load says nothing about now. */
    private static final long REPORT_MAX_AGE_MS = 400;

    /** Faults of runners come and go within seconds. */
    private static final double FAILURE_HALF_LIFE_MS = 3_000;

    /** Age at which the fleet's word is too old to go by; it comes every second. */
    private static final long FLEET_MAX_AGE_MS = 10_000;

    /** Age at which the fleet's count of requests under way says nothing about now. */
    private static final long FLEET_LOAD_MAX_AGE_MS = 2_500;

    /** Time in which half of a runner's requests have ended and others come: about one answer. */
    private static final double LOAD_HALF_LIFE_MS = 300;

    /** Age of the fleet's counts when they arrive: half a second each for report and exchange. */
    private static final double FLEET_DELAY_MS = 700;

    /** Requests without a failure that a runner nobody has tried is credited with. */
    private static final double ASSUMED_SUCCESSES = 3;

    private final Map<String, Boolean> parts =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MAX_PARTS;
                }
            };
    private int underWay;
    private int othersRunning;
    private boolean loadReported;
    private long reportedAtNs;
    private double msPerUnit;
    private int strikes;
    private long avoidUntilNs;

    private double unreportedMs;
    private double unreportedUnits;
    private int unreportedEnded;
    private int unreportedFailed;

    private RunnerLoadReport fleet;
    private int fleetOthersUnderWay;
    private long fleetAtNs;

    synchronized void started() {
        underWay++;
    }

    synchronized void ended() {
        underWay--;
    }

    synchronized void reported(RunnerLoad load, long nowNs) {
        othersRunning = Math.max(0, load.running() + load.waiting() - underWay);
        reportedAtNs = nowNs;
        loadReported = true;
    }

    /** A request took {@code ms} for {@code units} of work. */
    synchronized void succeeded(double ms, double units, List<PromptPart> prompt) {
        strikes = 0;
        double sample = ms / Math.max(1, units);
        msPerUnit =
                msPerUnit == 0
                        ? sample
                        : msPerUnit * (1 - NEW_SAMPLE_WEIGHT) + sample * NEW_SAMPLE_WEIGHT;
        unreportedMs += ms;
        unreportedUnits += Math.max(1, units);
        unreportedEnded++;
        for (PromptPart part : prompt) {
            parts.put(part.id(), Boolean.TRUE);
        }
    }

    /** The runner refused for lack of room. */
    synchronized void full(int slots, long nowNs) {
        othersRunning = Math.max(othersRunning, slots - underWay);
        reportedAtNs = nowNs;
        loadReported = true;
    }

    /** The runner failed; repeated failures keep it out for a growing time. */
    synchronized void failed(long nowNs) {
        unreportedEnded++;
        unreportedFailed++;
        strikes++;
        if (strikes >= STRIKES_TO_AVOID) {
            long avoidMs =
                    Math.min(
                            MAX_AVOID_MS,
                            FIRST_AVOID_MS << Math.min(8, strikes - STRIKES_TO_AVOID));
            avoidUntilNs = nowNs + avoidMs * NS_PER_MS;
        }
    }

    /** Nothing can be sent there now. */
    synchronized void unreachable(long nowNs) {
        strikes = Math.max(strikes, STRIKES_TO_AVOID - 1);
        failed(nowNs);
    }

    /** What was seen since this was last called, and what is under way now. */
    synchronized RunnerLoadReport takeSeen(String incarnation) {
        RunnerLoadReport seen =
                new RunnerLoadReport(
                        incarnation,
                        underWay,
                        unreportedMs,
                        unreportedUnits,
                        unreportedEnded,
                        unreportedFailed);
        unreportedMs = 0;
        unreportedUnits = 0;
        unreportedEnded = 0;
        unreportedFailed = 0;
        return seen;
    }

    /**
     * Takes what the fleet saw, this process included.
     *
     * @param ownUnderWay requests that this process counted in with its report
     */
    synchronized void learned(RunnerLoadReport all, int ownUnderWay, long nowNs) {
        fleet = all;
        fleetOthersUnderWay = Math.max(0, all.inFlight() - ownUnderWay);
        fleetAtNs = nowNs;
    }

    /**
     * This runner for a choice.
     *
     * @param fleetMean requests that a runner of the service holds in the mean
     */
    synchronized RunnerView view(
            Runner runner, List<PromptPart> prompt, double fleetMean, long nowNs) {
        int cached = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(part.id())) {
                break;
            }
            cached += part.tokens();
        }
        boolean avoided = nowNs - avoidUntilNs < 0 && avoidUntilNs != 0;
        return new RunnerView(
                runner,
                Math.max(underWay, load(fleetMean, nowNs)),
                loadKnown(nowNs),
                speedMs(nowNs),
                cached,
                failureShare(nowNs),
                avoided);
    }

    /** Time for a unit of work in ms, 0 if nothing is known. */
    synchronized double usualMs(long nowNs) {
        return speedMs(nowNs);
    }

    /** Whether the runner told its load so lately that it says something about now. */
    private boolean loadKnown(long nowNs) {
        return loadReported && nowNs - reportedAtNs < REPORT_MAX_AGE_MS * NS_PER_MS;
    }

    /** Requests of all nodes there as the fleet told, or -1 if it did not lately. */
    synchronized double fleetLoad(long nowNs) {
        return fleetKnown(nowNs, FLEET_LOAD_MAX_AGE_MS) ? fleet.inFlight() : -1;
    }

    private double load(double fleetMean, long nowNs) {
        if (loadKnown(nowNs)) {
            return underWay + othersRunning;
        }
        if (fleetKnown(nowNs, FLEET_LOAD_MAX_AGE_MS)) {
            // What was told of one runner is soon no better than the mean of all.
            double ageMs = (nowNs - fleetAtNs) / (double) NS_PER_MS + FLEET_DELAY_MS;
            double weight = Math.pow(0.5, ageMs / LOAD_HALF_LIFE_MS);
            return underWay + fleetMean + (fleetOthersUnderWay - fleetMean) * weight;
        }
        return underWay + othersRunning / 2.0;
    }

    private double speedMs(long nowNs) {
        boolean known = fleetKnown(nowNs, FLEET_MAX_AGE_MS) && fleet.workUnits() >= 1;
        return known ? fleet.workMs() / fleet.workUnits() : msPerUnit;
    }

    private double failureShare(long nowNs) {
        double failed = unreportedFailed;
        double ended = unreportedEnded;
        if (fleetKnown(nowNs, FLEET_MAX_AGE_MS)) {
            double weight =
                    Math.pow(0.5, (nowNs - fleetAtNs) / (double) NS_PER_MS / FAILURE_HALF_LIFE_MS);
            failed += fleet.failed() * weight;
            ended += fleet.ended() * weight;
        }
        return failed / (ended + ASSUMED_SUCCESSES);
    }

    private boolean fleetKnown(long nowNs, long maxAgeMs) {
        return fleet != null && nowNs - fleetAtNs < maxAgeMs * NS_PER_MS;
    }
}
