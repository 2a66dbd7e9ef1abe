package org.skylarkmast.bench.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntFunction;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.config.Workspace;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.core.scheduling.CallSubmission;
import org.skylarkmast.core.scheduling.Destination;
import org.skylarkmast.core.scheduling.PeerLoad;
import org.skylarkmast.core.scheduling.RunnerReport;
import org.skylarkmast.core.scheduling.SchedulingAction;
import org.skylarkmast.core.scheduling.SchedulingEvent;

/** One run: owners with one policy each, fake runners, and callers that execute their plans. */
final class Simulation implements FakeRunners.Listener, ProgramDriver.CallSink {
    private static final long NS_PER_MS = 1_000_000L;
    private static final long NETWORK_DELAY_NS = NS_PER_MS;
    private static final long PEER_EXCHANGE_INTERVAL_NS = 200 * NS_PER_MS;
    private static final long TICK_INTERVAL_NS = 200 * NS_PER_MS;
    private static final long REPORT_INTERVAL_NS = 1_000 * NS_PER_MS;
    private static final long RESTART_DETECTION_DELAY_NS = 2_000 * NS_PER_MS;
    private static final long MAX_DRAIN_NS = 900_000 * NS_PER_MS;
    private static final long CACHE_RELEASE_GRACE_NS = 60_000 * NS_PER_MS;
    private static final long CALL_TIMEOUT_NS = 60_000 * NS_PER_MS;
    private static final long MAX_WAIT_MS = 20_000;
    private static final double LOST_EVENT_SHARE = 0.1;

    private final LoadProfile profile;
    private final Fault fault;
    private final VirtualClock clock = new VirtualClock();
    private final RunMetrics metrics = new RunMetrics();
    private final FakeRunners.Noise noise;
    private final List<DecisionPolicy> policies = new ArrayList<>();
    private final List<FakeRunners.FakeEngine> engines = new ArrayList<>();
    private final List<FakeRunners.FakeService> services = new ArrayList<>();
    private final Map<String, FakeRunners.FakeRunner> runners = new LinkedHashMap<>();
    private final Map<String, Long> lastDeliveryNs = new HashMap<>();
    private final Map<Long, SimulatedCall> calls = new HashMap<>();
    private final ProgramDriver driver;
    private final List<ProgramPlan> plans;
    private long nextCallId;

    Simulation(
            LoadProfile profile,
            Fault.Kind faultKind,
            long seed,
            IntFunction<DecisionPolicy> policyFactory) {
        this.profile = profile;
        fault = Fault.of(faultKind, profile);
        noise =
                new FakeRunners.Noise(
                        LOST_EVENT_SHARE, 100 * NS_PER_MS, 600 * NS_PER_MS, new Random(~seed));
        plans = new LoadGenerator(profile, seed).programs();
        driver = new ProgramDriver(clock, metrics, this);
        createRunners();
        for (int owner = 0; owner < profile.owners(); owner++) {
            policies.add(policyFactory.apply(owner));
        }
    }

    RunResult run() {
        Configuration configuration = configuration();
        for (int owner = 0; owner < policies.size(); owner++) {
            deliver(owner, new SchedulingEvent.ConfigurationChanged(configuration));
        }
        for (ProgramPlan plan : plans) {
            clock.schedule(plan.arrivalNs(), () -> driver.start(plan));
        }
        clock.schedule(TICK_INTERVAL_NS, this::tick);
        clock.schedule(PEER_EXCHANGE_INTERVAL_NS, this::exchangePeerLoads);
        clock.schedule(REPORT_INTERVAL_NS, this::sendLoadReports);
        scheduleFault();
        clock.runUntil(profile.durationNs());
        long endNs = profile.durationNs() + MAX_DRAIN_NS;
        while (!driver.live().isEmpty() && clock.nowNs() < endNs) {
            clock.runUntil(clock.nowNs() + REPORT_INTERVAL_NS);
        }
        clock.runUntil(clock.nowNs() + CACHE_RELEASE_GRACE_NS);
        driver.failRemaining();
        long leakedTokens = 0;
        for (FakeRunners.FakeEngine engine : engines) {
            leakedTokens += engine.cachedTokensOfOthers(driver.live());
        }
        return metrics.result(profile.durationNs() / 1e9, leakedTokens);
    }

    private void createRunners() {
        for (double speed : profile.engineSpeeds()) {
            engines.add(
                    new FakeRunners.FakeEngine(
                            "engine-" + engines.size(),
                            "domain-" + engines.size() % profile.failureDomains(),
                            profile.engineSlots(),
                            speed,
                            profile.cacheTokensPerEngine(),
                            clock,
                            this));
        }
        for (double speed : profile.serviceSpeeds()) {
            services.add(
                    new FakeRunners.FakeService(
                            "service-" + services.size(),
                            "domain-" + services.size() % profile.failureDomains(),
                            4,
                            speed,
                            clock,
                            this));
        }
        engines.forEach(engine -> runners.put(engine.name, engine));
        services.forEach(service -> runners.put(service.name, service));
    }

    private Configuration configuration() {
        Map<String, Workspace> workspaces = new HashMap<>();
        for (String name : profile.workspaces()) {
            workspaces.put(
                    name, new Workspace(name, List.of(), 1, 1_000, 500, profile.cacheWeight()));
        }
        return new Configuration(
                1,
                workspaces,
                Map.of(),
                Map.of(
                        "assistant",
                        target("assistant", Target.Kind.MODEL_ENGINE, engines),
                        "billing",
                        target("billing", Target.Kind.PLAIN_SERVICE, services)),
                Map.of(),
                Map.of(),
                Map.of());
    }

    private static Target target(
            String name, Target.Kind kind, List<? extends FakeRunners.FakeRunner> members) {
        List<Target.Runner> declared = new ArrayList<>();
        for (FakeRunners.FakeRunner runner : members) {
            declared.add(
                    new Target.Runner(
                            runner.name,
                            "127.0.0.1:1",
                            runner.failureDomain,
                            runner.slots * 3 / 2));
        }
        List<String> models = kind == Target.Kind.MODEL_ENGINE ? List.of("model") : List.of();
        return new Target(name, kind, models, declared, List.of(), false, false);
    }

    @Override
    public void submit(SimulatedProgram program, boolean model) {
        ProgramPlan.Turn turn = program.turn();
        int owner = program.key().partition() % profile.owners();
        boolean repeatable = model || turn.repeatable();
        SimulatedCall call =
                new SimulatedCall(program, model, turn.serviceNs(), clock.nowNs(), owner);
        long callId = nextCallId++;
        calls.put(callId, call);
        Destination destination =
                model
                        ? new Destination.ModelDestination("model")
                        : new Destination.ServiceDestination("billing");
        deliver(
                owner,
                new SchedulingEvent.Submitted(
                        new CallSubmission(
                                callId,
                                program.key(),
                                destination,
                                repeatable,
                                model ? program.promptTokens() : 0,
                                model ? LoadGenerator.MAX_OUTPUT_TOKENS : 0,
                                program.plan.priorityLevel(),
                                MAX_WAIT_MS,
                                clock.nowNs() + CALL_TIMEOUT_NS)));
    }

    @Override
    public void onProgramEnded(ProgramKey program) {
        deliver(program.partition() % profile.owners(), new SchedulingEvent.ProgramEnded(program));
    }

    private void deliver(int owner, SchedulingEvent event) {
        for (SchedulingAction action : policies.get(owner).on(event, clock.nowNs())) {
            switch (action) {
                case SchedulingAction.Dispatch dispatch -> dispatch(owner, dispatch);
                case SchedulingAction.Refuse refuse -> {
                    metrics.recordRefusal();
                    SimulatedCall call = calls.remove(refuse.callId());
                    driver.onCallRefused(
                            call.program, call.model, refuse.retryAfterMs() * NS_PER_MS);
                }
                case SchedulingAction.GiveUp giveUp -> giveUp(giveUp);
                case SchedulingAction.CancelAttempt cancel -> {
                    FakeRunners.FakeRunner runner = runners.get(cancel.runner());
                    clock.schedule(NETWORK_DELAY_NS, () -> runner.cancel(cancel.callId()));
                }
                case SchedulingAction.ReleaseCache release -> releaseCache(owner, release);
            }
        }
    }

    private void dispatch(int owner, SchedulingAction.Dispatch dispatch) {
        SimulatedCall call = calls.get(dispatch.callId());
        call.attemptNumber = dispatch.attempt();
        call.firstOutputNs = 0;
        if (dispatch.attempt() > 1) {
            metrics.recordRetry();
        }
        FakeRunners.Attempt attempt =
                new FakeRunners.Attempt(
                        owner,
                        dispatch.callId(),
                        dispatch.attempt(),
                        call.program.key(),
                        call.program.promptTokens(),
                        call.program.turn().outputTokens(),
                        call.serviceNs);
        clock.schedule(
                NETWORK_DELAY_NS,
                () -> {
                    call.arrivedNs = clock.nowNs();
                    runners.get(dispatch.runner()).accept(attempt);
                });
    }

    private void giveUp(SchedulingAction.GiveUp giveUp) {
        SimulatedCall call = calls.remove(giveUp.callId());
        if (giveUp.lastFailure().mayHaveRun()) {
            driver.onCallFailed(call.program);
        } else {
            metrics.recordRefusal();
            driver.onCallRefused(call.program, call.model, giveUp.retryAfterMs() * NS_PER_MS);
        }
    }

    private void releaseCache(int owner, SchedulingAction.ReleaseCache release) {
        FakeRunners.FakeRunner runner = runners.get(release.runner());
        clock.schedule(
                NETWORK_DELAY_NS,
                () -> {
                    if (!runner.down && runner instanceof FakeRunners.FakeEngine engine) {
                        engine.release(release.program());
                        deliver(
                                owner,
                                new SchedulingEvent.CacheReleased(
                                        release.runner(), release.program()));
                    }
                });
    }

    private boolean isCurrent(FakeRunners.Attempt attempt) {
        SimulatedCall call = calls.get(attempt.callId());
        return call != null && call.attemptNumber == attempt.number();
    }

    @Override
    public void onFirstOutput(FakeRunners.Attempt attempt) {
        clock.schedule(
                NETWORK_DELAY_NS,
                () -> {
                    if (isCurrent(attempt)) {
                        SimulatedCall call = calls.get(attempt.callId());
                        call.firstOutputNs = clock.nowNs();
                        metrics.recordFirstToken(
                                clock.nowNs() - call.submittedNs, clock.nowNs() - call.arrivedNs);
                        deliver(call.owner, new SchedulingEvent.FirstOutput(attempt.callId()));
                    }
                });
    }

    @Override
    public void onSucceeded(FakeRunners.Attempt attempt, int cachedTokens) {
        clock.schedule(
                NETWORK_DELAY_NS,
                () -> {
                    if (isCurrent(attempt)) {
                        completeCall(attempt, cachedTokens);
                    }
                });
    }

    private void completeCall(FakeRunners.Attempt attempt, int cachedTokens) {
        SimulatedCall call = calls.remove(attempt.callId());
        SchedulingEvent event =
                call.model
                        ? new SchedulingEvent.Succeeded(
                                attempt.callId(),
                                attempt.promptTokens(),
                                cachedTokens,
                                attempt.outputTokens())
                        : new SchedulingEvent.Succeeded(attempt.callId(), 0, 0, 0);
        deliver(call.owner, event);
        if (call.model) {
            metrics.recordAnswer(
                    attempt.promptTokens(),
                    Math.max(0, call.program.previouslyProcessedTokens() - cachedTokens),
                    attempt.outputTokens(),
                    clock.nowNs() - call.firstOutputNs);
        }
        driver.onCallSucceeded(call.program, call.model);
    }

    @Override
    public void onFailed(FakeRunners.Attempt attempt, CallFailure failure, long retryAfterMs) {
        clock.schedule(
                NETWORK_DELAY_NS,
                () -> {
                    if (isCurrent(attempt)) {
                        deliver(
                                attempt.owner(),
                                new SchedulingEvent.Failed(
                                        attempt.callId(), failure, retryAfterMs));
                    }
                });
    }

    @Override
    public void onCacheChanged(String runner, long sequence, ProgramKey program, int tokens) {
        if (!noise.losesEvent()) {
            deliverToAllDelayed(
                    runner, new SchedulingEvent.CacheReported(runner, sequence, program, tokens));
        }
    }

    /** Delivers an event to all owners after a delay; the events of a runner stay in order. */
    private void deliverToAllDelayed(String runner, SchedulingEvent event) {
        long deliveryNs =
                Math.max(lastDeliveryNs.getOrDefault(runner, 0L), clock.nowNs() + noise.delayNs());
        lastDeliveryNs.put(runner, deliveryNs);
        clock.schedule(deliveryNs - clock.nowNs(), () -> deliverToAll(event));
    }

    private void deliverToAll(SchedulingEvent event) {
        for (int owner = 0; owner < policies.size(); owner++) {
            deliver(owner, event);
        }
    }

    private void tick() {
        deliverToAll(new SchedulingEvent.Tick());
        clock.schedule(TICK_INTERVAL_NS, this::tick);
    }

    private void exchangePeerLoads() {
        for (int from = 0; from < policies.size(); from++) {
            List<PeerLoad> loads = policies.get(from).ownLoad();
            SchedulingEvent event = new SchedulingEvent.PeerLoadReported("owner-" + from, loads);
            for (int to = 0; to < policies.size(); to++) {
                int receiver = to;
                if (to != from) {
                    clock.schedule(2 * NETWORK_DELAY_NS, () -> deliver(receiver, event));
                }
            }
        }
        clock.schedule(PEER_EXCHANGE_INTERVAL_NS, this::exchangePeerLoads);
    }

    private void sendLoadReports() {
        for (FakeRunners.FakeRunner runner : runners.values()) {
            if (!runner.down) {
                RunnerReport report = runner.report();
                deliverToAllDelayed(runner.name, new SchedulingEvent.LoadReported(report));
            }
        }
        clock.schedule(REPORT_INTERVAL_NS, this::sendLoadReports);
    }

    private void scheduleFault() {
        List<FakeRunners.FakeRunner> affectedRunners = fault.affectedRunners(engines, services);
        clock.schedule(fault.startNs(), () -> affectedRunners.forEach(this::injectFault));
        clock.schedule(fault.endNs(), () -> affectedRunners.forEach(this::endFault));
    }

    private void injectFault(FakeRunners.FakeRunner runner) {
        switch (fault.kind()) {
            case NONE -> {}
            case RUNNER_DIES, DOMAIN_GOES -> runner.crash();
            case RUNNER_SLOWS -> runner.slowdown = 5;
            case RUNNER_LIES -> runner.reportsIdle = true;
            case CACHE_RESTART -> {
                runner.crash();
                runner.restart();
                reportRestart(runner);
            }
        }
    }

    private void endFault(FakeRunners.FakeRunner runner) {
        runner.slowdown = 1;
        runner.reportsIdle = false;
        if (runner.down) {
            runner.restart();
            reportRestart(runner);
        }
    }

    private void reportRestart(FakeRunners.FakeRunner runner) {
        clock.schedule(
                RESTART_DETECTION_DELAY_NS,
                () -> deliverToAll(new SchedulingEvent.RunnerRestarted(runner.name)));
    }
}
