package org.skylarkmast.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.scheduling.retry.RetryBudget;
import org.skylarkmast.core.scheduling.routing.ConcurrencyLimit;
import org.skylarkmast.core.scheduling.routing.RunnerSpeed;
import org.skylarkmast.core.scheduling.routing.RunnerState;

/** The runners and destinations of the configuration in force, with the loads reported by peers. */
final class RunnerTable {
    private static final long NS_PER_MS = 1_000_000L;
    private static final long MIN_BUSY_PAUSE_NS = 100_000_000L;

    private final SchedulerSettings settings;
    private final ToDoubleFunction<String> workspaceWeight;
    private final Map<String, RunnerState> runners = new LinkedHashMap<>();
    private final Map<Destination, DestinationPool> pools = new LinkedHashMap<>();
    private final Map<String, List<PeerLoad>> peerLoads = new HashMap<>();
    private final Set<String> leaving = new HashSet<>();
    private Set<String> engineRunners = Set.of();

    RunnerTable(SchedulerSettings settings, ToDoubleFunction<String> workspaceWeight) {
        this.settings = settings;
        this.workspaceWeight = workspaceWeight;
    }

    /** The runner, or null if the configuration has none of that name. */
    RunnerState runner(String name) {
        return runners.get(name);
    }

    Collection<RunnerState> runners() {
        return runners.values();
    }

    Collection<DestinationPool> pools() {
        return pools.values();
    }

    /** Names of the runners that hold prefix caches. */
    Set<String> engineRunners() {
        return engineRunners;
    }

    /** The destination's pool, or null if no target offers it. */
    DestinationPool pool(Destination destination) {
        return pools.get(destination);
    }

    /**
     * Applies a new configuration; runners that it still contains keep their state.
     *
     * @return the names of the runners that it no longer contains
     */
    Set<String> apply(Configuration configuration) {
        Map<String, RunnerState> retained = new LinkedHashMap<>();
        Map<Destination, List<RunnerState>> runnersByDestination = new LinkedHashMap<>();
        Set<String> engines = new HashSet<>();
        for (Target target : sortedTargets(configuration)) {
            for (Target.Runner declared : target.runners()) {
                RunnerState runner = findOrCreate(declared);
                retained.put(declared.name(), runner);
                if (target.kind() == Target.Kind.MODEL_ENGINE) {
                    engines.add(declared.name());
                }
                for (Destination destination : destinations(target)) {
                    runnersByDestination
                            .computeIfAbsent(destination, key -> new ArrayList<>())
                            .add(runner);
                }
            }
        }
        Set<String> removed = new HashSet<>(runners.keySet());
        removed.removeAll(retained.keySet());
        runners.clear();
        runners.putAll(retained);
        engineRunners = Set.copyOf(engines);
        pools.values().removeIf(pool -> isUnused(pool, runnersByDestination));
        pools.values().forEach(pool -> pool.setRunners(List.of()));
        runnersByDestination.forEach(
                (destination, poolRunners) ->
                        findOrCreatePool(destination).setRunners(poolRunners));
        return removed;
    }

    void setLeaving(String runner, boolean isLeaving) {
        if (isLeaving) {
            leaving.add(runner);
        } else {
            leaving.remove(runner);
        }
        RunnerState state = runners.get(runner);
        if (state != null) {
            state.setLeaving(isLeaving);
        }
    }

    /** Replaces the load reported by a peer; an empty list removes it. */
    void setPeerLoads(String peer, List<PeerLoad> loads) {
        List<PeerLoad> previous = peerLoads.remove(peer);
        if (previous != null) {
            previous.forEach(load -> addPeerLoad(load, -1));
        }
        if (!loads.isEmpty()) {
            peerLoads.put(peer, loads);
            loads.forEach(load -> addPeerLoad(load, 1));
        }
    }

    /** The load of this node's own calls on each runner, to be reported to its peers. */
    List<PeerLoad> ownLoad() {
        List<PeerLoad> loads = new ArrayList<>();
        for (RunnerState runner : runners.values()) {
            if (runner.ownCalls() > 0) {
                loads.add(
                        new PeerLoad(
                                runner.name(),
                                runner.ownCalls(),
                                Math.round(runner.ownPrefillTokens()),
                                Math.round(runner.ownDecodeTokens())));
            }
        }
        return loads;
    }

    List<RunnerStatus> statuses(long nowNs) {
        List<RunnerStatus> statuses = new ArrayList<>();
        for (RunnerState runner : runners.values()) {
            boolean isEngine = engineRunners.contains(runner.name());
            statuses.add(
                    new RunnerStatus(
                            runner.name(),
                            runner.reportedWaiting(),
                            runner.ownCalls(),
                            health(runner, nowNs),
                            isEngine ? runner.speed().prefillTokensPerS() : 0,
                            isEngine ? runner.speed().interTokenNs(0) / (double) NS_PER_MS : 0,
                            runner.speed().callNs() / (double) NS_PER_MS));
        }
        return statuses;
    }

    private static RunnerStatus.Health health(RunnerState runner, long nowNs) {
        if (runner.leaving()) {
            return RunnerStatus.Health.LEAVING;
        }
        if (runner.breaker().ejected(nowNs)) {
            return RunnerStatus.Health.EJECTED;
        }
        if (runner.breaker().halfOpen(nowNs)) {
            return RunnerStatus.Health.HALF_OPEN;
        }
        return runner.slow() ? RunnerStatus.Health.SLOW : RunnerStatus.Health.HEALTHY;
    }

    /** Applies a load report of a runner. */
    void onLoadReported(RunnerReport report) {
        RunnerState runner = runners.get(report.runner());
        if (runner != null) {
            runner.onLoadReported(
                    report.running(),
                    report.waiting(),
                    report.cacheCapacityTokens() - report.cacheUsedTokens(),
                    settings.isEnabled(Mechanism.LOAD_REPORTS));
        }
    }

    /** Updates the runner's circuit breaker and concurrency limit after a failed attempt. */
    void onFailure(
            RunnerState runner, SchedulingEvent.Failed event, int inFlightCalls, long nowNs) {
        switch (event.failure()) {
            case BUSY -> {
                runner.breaker().onInconclusive();
                runner.limit().onBusy(inFlightCalls);
                runner.pauseUntil(
                        nowNs + Math.max(MIN_BUSY_PAUSE_NS, event.retryAfterMs() * NS_PER_MS));
            }
            case STALE_EPOCH -> runner.breaker().onInconclusive();
            case NOT_SENT, BROKEN, TIMED_OUT, TARGET_ERROR -> {
                if (settings.isEnabled(Mechanism.CIRCUIT_BREAKER)) {
                    runner.breaker().onFailure(nowNs);
                }
            }
        }
    }

    private DestinationPool findOrCreatePool(Destination destination) {
        return pools.computeIfAbsent(
                destination,
                key ->
                        new DestinationPool(
                                key,
                                workspaceWeight,
                                new RetryBudget(
                                        settings.retriesPerCall(), settings.maxRetryBalance())));
    }

    private void addPeerLoad(PeerLoad load, int sign) {
        RunnerState runner = runners.get(load.runner());
        if (runner != null) {
            runner.addPeerLoad(sign * load.calls(), sign * (double) load.prefillTokens());
        }
    }

    private RunnerState findOrCreate(Target.Runner declared) {
        RunnerState known = runners.get(declared.name());
        if (known != null) {
            known.limit().setDeclaredMax(maxCalls(declared));
            return known;
        }
        ConcurrencyLimit limit =
                new ConcurrencyLimit(
                        maxCalls(declared), settings.isEnabled(Mechanism.ADAPTIVE_LIMIT));
        RunnerState created =
                new RunnerState(
                        declared.name(),
                        new RunnerSpeed(settings.isEnabled(Mechanism.LEARNT_SPEED)),
                        limit);
        created.setLeaving(leaving.contains(declared.name()));
        for (List<PeerLoad> loads : peerLoads.values()) {
            for (PeerLoad load : loads) {
                if (load.runner().equals(declared.name())) {
                    created.addPeerLoad(load.calls(), (double) load.prefillTokens());
                }
            }
        }
        return created;
    }

    private int maxCalls(Target.Runner declared) {
        return settings.isEnabled(Mechanism.CONCURRENCY_LIMIT)
                ? declared.maxConcurrentCalls()
                : Integer.MAX_VALUE / 2;
    }

    private static boolean isUnused(
            DestinationPool pool, Map<Destination, List<RunnerState>> runnersByDestination) {
        return pool.outstandingCalls == 0 && !runnersByDestination.containsKey(pool.destination);
    }

    private static List<Target> sortedTargets(Configuration configuration) {
        List<Target> targets = new ArrayList<>(configuration.targets().values());
        targets.sort((a, b) -> a.name().compareTo(b.name()));
        return targets;
    }

    private static List<Destination> destinations(Target target) {
        return switch (target.kind()) {
            case MODEL_ENGINE ->
                    target.models().stream()
                            .<Destination>map(Destination.ModelDestination::new)
                            .toList();
            case PLAIN_SERVICE -> List.of(new Destination.ServiceDestination(target.name()));
        };
    }
}
