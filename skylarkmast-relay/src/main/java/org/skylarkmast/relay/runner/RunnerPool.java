package org.skylarkmast.relay.runner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.loadreport.RunnerLoadReport;

/** The usable runners with what was learned about them; thread-safe. */
public final class RunnerPool {
    private static final double NS_PER_MS = 1e6;

    private final RunnerDirectory directory;
    private final RunnerChooser chooser;
    private final LongSupplier clockNs;
    private final Map<String, RunnerStats> statsByIncarnation = new ConcurrentHashMap<>();

    /** Creates a pool without knowledge. */
    public RunnerPool(RunnerDirectory directory, RunnerChooser chooser, LongSupplier clockNs) {
        this.directory = directory;
        this.chooser = chooser;
        this.clockNs = clockNs;
    }

    /**
     * Chooses a runner of {@code service}.
     *
     * @param units work of the request: output tokens of a stream, 1 otherwise
     * @param failureCostMs time that a failure costs the caller
     * @param excluded incarnations that are not considered
     * @return the choice, or null if none qualifies
     */
    public Runner choose(
            String service,
            double units,
            List<PromptPart> prompt,
            double failureCostMs,
            Set<String> excluded) {
        long nowNs = clockNs.getAsLong();
        List<RunnerView> views = new ArrayList<>();
        double fleetMean = fleetMean(service, nowNs);
        for (Runner runner : directory.usable(service)) {
            if (!excluded.contains(runner.incarnation())) {
                views.add(stats(runner).view(runner, prompt, fleetMean, nowNs));
            }
        }
        int promptTokens = 0;
        for (PromptPart part : prompt) {
            promptTokens += part.tokens();
        }
        RunnerView chosen =
                chooser.choose(views, new RunnerChooser.Work(units, promptTokens, failureCostMs));
        return chosen == null ? null : chosen.runner();
    }

    private double fleetMean(String service, long nowNs) {
        double sum = 0;
        int known = 0;
        for (Runner runner : directory.usable(service)) {
            double load = stats(runner).fleetLoad(nowNs);
            sum += Math.max(0, load);
            known += load < 0 ? 0 : 1;
        }
        return known == 0 ? 0 : sum / known;
    }

    /** What was seen of runners since this was last called, and what is under way there. */
    public List<RunnerLoadReport> takeSeen() {
        List<RunnerLoadReport> seen = new ArrayList<>();
        statsByIncarnation.forEach(
                (incarnation, stats) -> {
                    RunnerLoadReport loadReport = stats.takeSeen(incarnation);
                    if (!loadReport.isEmpty()) {
                        seen.add(loadReport);
                    }
                });
        return seen;
    }

    /**
     * Takes what the fleet saw.
     *
     * @param own what of it this process reported last
     */
    public void learned(List<RunnerLoadReport> all, List<RunnerLoadReport> own) {
        long nowNs = clockNs.getAsLong();
        Map<String, Integer> ownUnderWay = new HashMap<>();
        own.forEach(loadReport -> ownUnderWay.put(loadReport.incarnation(), loadReport.inFlight()));
        for (RunnerLoadReport loadReport : all) {
            if (directory.knows(loadReport.incarnation())) {
                statsByIncarnation
                        .computeIfAbsent(loadReport.incarnation(), incarnation -> new RunnerStats())
                        .learned(
                                loadReport,
                                ownUnderWay.getOrDefault(loadReport.incarnation(), 0),
                                nowNs);
            }
        }
    }

    /** Whether {@code service} has any usable runner. */
    public boolean hasRunners(String service) {
        return !directory.usable(service).isEmpty();
    }

    /** Whether the runner is registered still, leaving or not. */
    public boolean registered(Runner runner) {
        return directory.knows(runner.incarnation());
    }

    /** Time that a unit of work usually takes at {@code runner}, in ms; 0 if nothing is known. */
    public double usualMs(Runner runner) {
        return stats(runner).usualMs(clockNs.getAsLong());
    }

    /** Counts a request as under way at {@code runner}. */
    public void started(Runner runner) {
        stats(runner).started();
    }

    /** Counts a request as no longer under way. */
    public void ended(Runner runner) {
        stats(runner).ended();
    }

    /** Takes a load that the runner told. */
    public void reported(Runner runner, RunnerLoad load) {
        stats(runner).reported(load, clockNs.getAsLong());
    }

    /** Takes a success. */
    public void succeeded(Runner runner, long tookNs, double units, List<PromptPart> prompt) {
        stats(runner).succeeded(tookNs / NS_PER_MS, units, prompt);
    }

    /** Takes a refusal for lack of room. */
    public void full(Runner runner) {
        stats(runner).full(runner.slots(), clockNs.getAsLong());
    }

    /** Takes a failure. */
    public void failed(Runner runner) {
        stats(runner).failed(clockNs.getAsLong());
    }

    /** Takes a failure to connect. */
    public void unreachable(Runner runner) {
        stats(runner).unreachable(clockNs.getAsLong());
    }

    /** Forgets runners that are gone. */
    public void sweep() {
        statsByIncarnation.keySet().removeIf(incarnation -> !directory.knows(incarnation));
    }

    private RunnerStats stats(Runner runner) {
        return statsByIncarnation.computeIfAbsent(
                runner.incarnation(), incarnation -> new RunnerStats());
    }
}
