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

/** All runners and destinations of the configuration in force, with what peers told of them. */
final class RunnerTable {
    private static final long NS_PER_MS = 1_000_000L;
    private static final long MIN_PAUSE_NS = 100_000_000L;

    private final SchedulerSettings settings;
    private final ToDoubleFunction<String> weightOfWorkspace;
    private final Map<String, RunnerState> runners = new LinkedHashMap<>();
    private final Map<Destination, DestinationPool> pools = new LinkedHashMap<>();
    private final Map<String, List<PeerLoad>> peerLoads = new HashMap<>();
    private final Set<String> leaving = new HashSet<>();
    private Set<String> engineRunners = Set.of();

    RunnerTable(SchedulerSettings settings, ToDoubleFunction<String> weightOfWorkspace) {
        this.settings = settings;
        this.weightOfWorkspace = weightOfWorkspace;
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

    /** Takes a new configuration; runners keep their state, and the names of those gone return. */
    Set<String> apply(Configuration configuration) {
        Map<String, RunnerState> kept = new LinkedHashMap<>();
        Map<Destination, List<RunnerState>> members = new LinkedHashMap<>();
        Set<String> engines = new HashSet<>();
        for (Target target : sortedTargets(configuration)) {
            for (Target.Runner declared : target.runners()) {
                RunnerState runner = keepOrCreate(declared);
                kept.put(declared.name(), runner);
                if (target.kind() == Target.Kind.MODEL_ENGINE) {
                    engines.add(declared.name());
                }
                for (Destination destination : destinations(target)) {
                    members.computeIfAbsent(destination, key -> new ArrayList<>()).add(runner);
                }
            }
        }
        Set<String> removed = new HashSet<>(runners.keySet());
        removed.removeAll(kept.keySet());
        runners.clear();
        runners.putAll(kept);
        engineRunners = Set.copyOf(engines);
        pools.values().removeIf(pool -> isUnused(pool, members));
        pools.values().forEach(pool -> pool.setRunners(List.of()));
        members.forEach((destination, list) -> poolOrCreate(destination).setRunners(list));
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

    /** Replaces what a peer told; an empty list forgets it. */
    void setPeerLoads(String peer, List<PeerLoad> loads) {
        List<PeerLoad> before = peerLoads.remove(peer);
        if (before != null) {
            before.forEach(load -> addPeerLoad(load, -1));
        }
        if (!loads.isEmpty()) {
            peerLoads.put(peer, loads);
            loads.forEach(load -> addPeerLoad(load, 1));
        }
    }

    /** What this node has under way, for its peers. */
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

    /** What is known of every runner. */
    List<RunnerView> views(long nowNs) {
        List<RunnerView> views = new ArrayList<>();
        for (RunnerState runner : runners.values()) {
            boolean engine = engineRunners.contains(runner.name());
            views.add(
                    new RunnerView(
                            runner.name(),
                            runner.reportedWaiting(),
                            runner.ownCalls(),
                            health(runner, nowNs),
                            engine ? runner.speed().prefillTokensPerS() : 0,
                            engine ? runner.speed().interTokenNs(0) / (double) NS_PER_MS : 0,
                            runner.speed().callNs() / (double) NS_PER_MS));
        }
        return views;
    }

    private static RunnerView.Health health(RunnerState runner, long nowNs) {
        if (runner.leaving()) {
            return RunnerView.Health.LEAVING;
        }
        if (runner.breaker().ejected(nowNs)) {
            return RunnerView.Health.EJECTED;
        }
        if (runner.breaker().halfOpen(nowNs)) {
            return RunnerView.Health.HALF_OPEN;
        }
        return runner.slow() ? RunnerView.Health.SLOW : RunnerView.Health.HEALTHY;
    }

    /** Takes a runner's load report. */
    void report(RunnerReport report) {
        RunnerState runner = runners.get(report.runner());
        if (runner != null) {
            runner.report(
                    report.running(),
                    report.waiting(),
                    report.cacheCapacityTokens() - report.cacheUsedTokens(),
                    settings.uses(Mechanism.LOAD_REPORTS));
        }
    }

    /** Notes what a failure tells of the runner. */
    void onFailure(RunnerState runner, SchedulingEvent.Failed event, int callsThere, long nowNs) {
        switch (event.failure()) {
            case BUSY -> {
                runner.breaker().onInconclusive();
                runner.limit().onBusy(callsThere);
                runner.pauseUntil(nowNs + Math.max(MIN_PAUSE_NS, event.retryAfterMs() * NS_PER_MS));
            }
            case STALE_EPOCH -> runner.breaker().onInconclusive();
            case NOT_SENT, BROKEN, TIMED_OUT, TARGET_ERROR -> {
                if (settings.uses(Mechanism.CIRCUIT_BREAKER)) {
                    runner.breaker().onFailure(nowNs);
                }
            }
        }
    }

    private DestinationPool poolOrCreate(Destination destination) {
        return pools.computeIfAbsent(
                destination,
                key ->
                        new DestinationPool(
                                key,
                                weightOfWorkspace,
                                new RetryBudget(
                                        settings.retriesPerCall(), settings.maxSavedRetries())));
    }

    private void addPeerLoad(PeerLoad load, int sign) {
        RunnerState runner = runners.get(load.runner());
        if (runner != null) {
            runner.addPeer(sign * load.calls(), sign * (double) load.prefillTokens());
        }
    }

    private RunnerState keepOrCreate(Target.Runner declared) {
        RunnerState known = runners.get(declared.name());
        if (known != null) {
            known.limit().setMaxCalls(maxCalls(declared));
            return known;
        }
        ConcurrencyLimit limit =
                new ConcurrencyLimit(maxCalls(declared), settings.uses(Mechanism.ADAPTIVE_LIMIT));
        RunnerState created =
                new RunnerState(
                        declared.name(),
                        new RunnerSpeed(settings.uses(Mechanism.LEARNT_SPEED)),
                        limit);
        created.setLeaving(leaving.contains(declared.name()));
        for (List<PeerLoad> loads : peerLoads.values()) {
            for (PeerLoad load : loads) {
                if (load.runner().equals(declared.name())) {
                    created.addPeer(load.calls(), (double) load.prefillTokens());
                }
            }
        }
        return created;
    }

    private int maxCalls(Target.Runner declared) {
        return settings.uses(Mechanism.CONCURRENCY_LIMIT)
                ? declared.maxConcurrentCalls()
                : Integer.MAX_VALUE / 2;
    }

    private static boolean isUnused(
            DestinationPool pool, Map<Destination, List<RunnerState>> members) {
        return pool.liveCalls == 0 && !members.containsKey(pool.destination);
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
