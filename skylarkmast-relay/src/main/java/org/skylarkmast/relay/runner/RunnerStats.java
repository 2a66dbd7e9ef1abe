package org.skylarkmast.relay.runner;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What this process learned about one incarnation of a runner; thread-safe. */
final class RunnerStats {
    private static final double NEW_SAMPLE_WEIGHT = 0.2;
    private static final int MAX_PARTS = 512;
    private static final int STRIKES_TO_AVOID = 2;
    private static final long FIRST_AVOID_MS = 500;
    private static final long MAX_AVOID_MS = 4000;
    private static final long NS_PER_MS = 1_000_000;

    /** Age at which a reported load says nothing about now. */
    private static final long REPORT_MAX_AGE_MS = 400;

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
    private long reportedAtNs;
    private double msPerUnit;
    private int strikes;
    private long avoidUntilNs;

    synchronized void started() {
        underWay++;
    }

    synchronized void ended() {
        underWay--;
    }

    synchronized void reported(RunnerLoad load, long nowNs) {
        othersRunning = Math.max(0, load.running() + load.waiting() - underWay);
        reportedAtNs = nowNs;
    }

    /** A request took {@code ms} for {@code units} of work. */
    synchronized void succeeded(double ms, double units, List<PromptPart> prompt) {
        strikes = 0;
        double sample = ms / Math.max(1, units);
        msPerUnit =
                msPerUnit == 0
                        ? sample
                        : msPerUnit * (1 - NEW_SAMPLE_WEIGHT) + sample * NEW_SAMPLE_WEIGHT;
        for (PromptPart part : prompt) {
            parts.put(part.id(), Boolean.TRUE);
        }
    }

    /** The runner refused for lack of room. */
    synchronized void full(int slots, long nowNs) {
        othersRunning = Math.max(othersRunning, slots - underWay);
        reportedAtNs = nowNs;
    }

    /** The runner failed; repeated failures keep it out for a growing time. */
    synchronized void failed(long nowNs) {
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

    synchronized RunnerView view(Runner runner, List<PromptPart> prompt, long nowNs) {
        int cached = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(part.id())) {
                break;
            }
            cached += part.tokens();
        }
        boolean fresh = nowNs - reportedAtNs < REPORT_MAX_AGE_MS * NS_PER_MS;
        int load = underWay + (fresh ? othersRunning : othersRunning / 2);
        return new RunnerView(
                runner, load, msPerUnit, cached, nowNs - avoidUntilNs < 0 && avoidUntilNs != 0);
    }
}
