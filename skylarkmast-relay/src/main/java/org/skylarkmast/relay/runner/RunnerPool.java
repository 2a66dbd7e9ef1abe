package org.skylarkmast.relay.runner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.skylarkmast.relay.loadreport.RunnerLoadReport;

/**
 * Chooses runners and keeps statistics about each of them, from this process's requests and from
 * the reports of all entry nodes; thread-safe.
 */
public final class RunnerPool {
    private static final double NS_PER_MS = 1e6;

    private final RunnerDirectory directory;
    private final RunnerChooser chooser;
    private final ToDoubleFunction<Runner> sendWaitMs;
    private final LongSupplier clockNs;
    private final Map<String, RunnerStats> statsByIncarnation = new ConcurrentHashMap<>();
    private final AffinityChooser affinity = new AffinityChooser();
    private final MemoryBound memoryBound = new MemoryBound();
    private final MeanTokens meanTokens = new MeanTokens();
    private final Map<String, EngineSpeedEstimator> enginesByService = new ConcurrentHashMap<>();

    /**
     * Creates a pool without any statistics.
     *
     * @param sendWaitMs expected time in ms until a runner accepts another request at its rate
     *     limit, 0 without a limit
     * @param clockNs monotonic clock, in ns
     */
    public RunnerPool(
            RunnerDirectory directory,
            RunnerChooser chooser,
            ToDoubleFunction<Runner> sendWaitMs,
            LongSupplier clockNs) {
        this.directory = directory;
        this.chooser = chooser;
        this.sendWaitMs = sendWaitMs;
        this.clockNs = clockNs;
    }

    /**
     * Chooses a runner of {@code service}.
     *
     * @param units amount of work: output tokens of a stream, 1 otherwise
     * @param failureCostMs time that the caller loses if the runner fails the request
     * @param eligible whether a runner is considered
     * @return the chosen runner, or null if none is available
     */
    public Runner choose(
            String service,
            double units,
            List<PromptPart> prompt,
            double failureCostMs,
            Predicate<Runner> eligible) {
        return choose(service, units, prompt, failureCostMs, Placement.ANY, eligible);
    }

    /**
     * Chooses a runner of {@code service}, as the method without {@code placement} if that asks for
     * nothing.
     */
    public Runner choose(
            String service,
            double units,
            List<PromptPart> prompt,
            double failureCostMs,
            Placement placement,
            Predicate<Runner> eligible) {
        long nowNs = clockNs.getAsLong();
        List<RunnerCandidate> all = new ArrayList<>();
        double meanFleetLoad = meanFleetLoad(service, nowNs);
        double meanRequestTokens = meanTokens.of(service);
        for (Runner runner : directory.available(service)) {
            if (eligible.test(runner)) {
                all.add(
                        stats(runner)
                                .toCandidate(
                                        runner,
                                        prompt,
                                        meanFleetLoad,
                                        meanRequestTokens,
                                        sendWaitMs.applyAsDouble(runner),
                                        nowNs));
            }
        }
        List<RunnerCandidate> candidates = memoryBound.withRoom(all, placement);
        if (!placement.affinityKey().isEmpty()) {
            double usualMs = RunnerChooser.meanMsPerUnit(candidates) * units;
            Optional<RunnerCandidate> preferred =
                    affinity.choose(candidates, placement.affinityKey(), usualMs);
            if (preferred.isPresent()) {
                return preferred.get().runner();
            }
        }
        int promptTokens = 0;
        for (PromptPart part : prompt) {
            promptTokens += part.tokens();
        }
        RunnerCandidate chosen =
                chooser.choose(
                        candidates,
                        new RunnerChooser.RequestProfile(
                                units, promptTokens, failureCostMs, engineSpeed(service)));
        return chosen == null ? null : chosen.runner();
    }

    private double meanFleetLoad(String service, long nowNs) {
        double sum = 0;
        int reportedRunners = 0;
        for (Runner runner : directory.available(service)) {
            double load = stats(runner).fleetLoad(nowNs);
            sum += Math.max(0, load);
            reportedRunners += load < 0 ? 0 : 1;
        }
        return reportedRunners == 0 ? 0 : sum / reportedRunners;
    }

    /**
     * Returns what this process observed of each runner since the last call, and the number of
     * requests it has in flight there; runners without either are left out.
     */
    public List<RunnerLoadReport> drainLoadReports() {
        List<RunnerLoadReport> loadReports = new ArrayList<>();
        statsByIncarnation.forEach(
                (incarnation, stats) -> {
                    RunnerLoadReport loadReport = stats.drainLoadReport(incarnation);
                    if (!loadReport.isEmpty()) {
                        loadReports.add(loadReport);
                    }
                });
        return loadReports;
    }

    /**
     * Applies the sums of the load reports of all entry nodes.
     *
     * @param fleetReports the sums, one for each runner, including this process's reports
     * @param ownReports the last reports of this process, which the sums include
     */
    public void applyFleetReports(
            List<RunnerLoadReport> fleetReports, List<RunnerLoadReport> ownReports) {
        long nowNs = clockNs.getAsLong();
        Map<String, Integer> ownInFlight = new HashMap<>();
        ownReports.forEach(
                loadReport -> ownInFlight.put(loadReport.incarnation(), loadReport.inFlight()));
        for (RunnerLoadReport loadReport : fleetReports) {
            if (directory.isRegistered(loadReport.incarnation())) {
                statsByIncarnation
                        .computeIfAbsent(loadReport.incarnation(), incarnation -> new RunnerStats())
                        .applyFleetReport(
                                loadReport,
                                ownInFlight.getOrDefault(loadReport.incarnation(), 0),
                                nowNs);
            }
        }
    }

    /** Whether any runner of {@code service} accepts new requests. */
    public boolean hasAvailableRunners(String service) {
        return !directory.available(service).isEmpty();
    }

    /** Whether the runner is registered and accepts new requests. */
    public boolean isAvailable(Runner runner) {
        return directory.isAvailable(runner.incarnation());
    }

    /**
     * Records that a runner said in an answer that it is leaving; see {@link
     * RunnerDirectory#recordLeaving}.
     */
    public void recordLeaving(String id, long startedAtMs, LeavingSource source, String requestId) {
        directory.recordLeaving(id, startedAtMs, source, requestId);
    }

    /**
     * Records that another runner than the one addressed said that it is leaving, by the newest
     * incarnation that is registered under its id or else at the address.
     *
     * @param answeringId id of the runner that answered, that of {@code addressed} if unknown
     */
    public void recordOtherLeaving(String answeringId, Runner addressed, String requestId) {
        for (Runner other : directory.all()) {
            boolean matches =
                    answeringId.equals(addressed.id())
                            ? other.address().equals(addressed.address())
                            : other.id().equals(answeringId);
            if (matches && !other.id().equals(addressed.id())) {
                directory.recordLeaving(
                        other.id(), other.startedAtMs(), LeavingSource.ANSWER, requestId);
            }
        }
    }

    /** Returns the number of runners that are remembered to be leaving by their answers. */
    public int leavingCount() {
        return directory.leavingCount();
    }

    /** Whether any eligible runner of {@code service} accepts new requests. */
    public boolean hasAvailableRunners(String service, Predicate<Runner> eligible) {
        return directory.available(service).stream().anyMatch(eligible);
    }

    /** Whether the runner is still registered, draining or not. */
    public boolean isRegistered(Runner runner) {
        return directory.isRegistered(runner.incarnation());
    }

    /** Expected time for a unit of work at {@code runner}, in ms; 0 if nothing is known. */
    public double expectedMsPerUnit(Runner runner) {
        return stats(runner).expectedMsPerUnit(clockNs.getAsLong());
    }

    /** Returns the chooser of runners for requests about objects, which counts its choices. */
    public AffinityChooser affinity() {
        return affinity;
    }

    /** Returns the bound by runners' memory, which counts its effects. */
    public MemoryBound memoryBound() {
        return memoryBound;
    }

    /** Returns the speed of the engines of {@code service}, as far as it has been learned. */
    public EngineSpeed engineSpeed(String service) {
        return engine(service).speed();
    }

    /** Returns the speeds of the engines of all services to which this node has sent streams. */
    public Map<String, EngineSpeed> engineSpeeds() {
        Map<String, EngineSpeed> speeds = new HashMap<>();
        enginesByService.forEach((service, engine) -> speeds.put(service, engine.speed()));
        return speeds;
    }

    private EngineSpeedEstimator engine(String service) {
        return enginesByService.computeIfAbsent(service, _ -> new EngineSpeedEstimator());
    }

    /** Returns what is expected of a request that is about to be sent to {@code runner}. */
    public SendConditions conditions(Runner runner, List<PromptPart> prompt) {
        long nowNs = clockNs.getAsLong();
        return stats(runner)
                .toCandidate(runner, prompt, meanFleetLoad(runner.service(), nowNs), 0, 0, nowNs)
                .toConditions(prompt);
    }

    /**
     * Records the pace of a complete stream, from which the speed of the service's engines is
     * learned.
     *
     * @param conditions what was expected when the stream's request was sent
     * @param firstEventNs time from the send to the first event
     * @param generationNs time from the first event to the end
     * @param generatedUnits work done after the first event
     */
    public void recordStream(
            Runner runner,
            SendConditions conditions,
            long firstEventNs,
            long generationNs,
            double generatedUnits) {
        EngineSpeedEstimator engine = engine(runner.service());
        if (conditions.hasFreeSlot()) {
            engine.recordFirstEvent(conditions, firstEventNs / NS_PER_MS);
        }
        if (generatedUnits > 0) {
            engine.recordGeneration(conditions, generationNs / NS_PER_MS / generatedUnits);
        }
    }

    /** Counts a request as in flight to {@code runner}. */
    public void recordStart(Runner runner) {
        recordStart(runner, 0);
    }

    /**
     * Counts a request as in flight to {@code runner}.
     *
     * @param tokens as in {@link Placement}
     */
    public void recordStart(Runner runner, long tokens) {
        stats(runner).recordStart(tokens);
        meanTokens.record(runner.service(), tokens);
    }

    /** Counts a request as no longer in flight. */
    public void recordEnd(Runner runner) {
        recordEnd(runner, 0);
    }

    /**
     * Counts a request as no longer in flight.
     *
     * @param tokens as at its start
     */
    public void recordEnd(Runner runner, long tokens) {
        stats(runner).recordEnd(tokens);
    }

    /** Records the load that the runner reported with an answer. */
    public void recordLoad(Runner runner, RunnerLoad load) {
        stats(runner).recordLoad(load, clockNs.getAsLong());
    }

    /** Records a successful answer that took {@code tookNs}. */
    public void recordSuccess(Runner runner, long tookNs, double units, List<PromptPart> prompt) {
        stats(runner).recordSuccess(tookNs / NS_PER_MS, units, prompt);
    }

    /** Records that the runner rejected a request because it was overloaded. */
    public void recordOverload(Runner runner) {
        stats(runner).recordOverload(runner.slots(), clockNs.getAsLong());
    }

    /** Records a failed request. */
    public void recordFailure(Runner runner) {
        stats(runner).recordFailure(clockNs.getAsLong());
    }

    /** Records a failure to connect. */
    public void recordConnectFailure(Runner runner) {
        stats(runner).recordConnectFailure(clockNs.getAsLong());
    }

    /** Discards the statistics of incarnations that are no longer registered. */
    public void removeUnregistered() {
        statsByIncarnation.keySet().removeIf(incarnation -> !directory.isRegistered(incarnation));
    }

    private RunnerStats stats(Runner runner) {
        return statsByIncarnation.computeIfAbsent(
                runner.incarnation(), incarnation -> new RunnerStats());
    }
}
