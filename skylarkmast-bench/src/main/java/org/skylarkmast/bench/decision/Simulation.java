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

/** One run: owners with a policy each, fake runners, and callers that follow their plans. */
final class Simulation implements FakeRunners.Listener, ProgramDriver.CallSink {
    private static final long MS = 1_000_000L;
    private static final long NETWORK_NS = MS;
    private static final long PEER_EXCHANGE_NS = 200 * MS;
    private static final long TICK_NS = 200 * MS;
    private static final long REPORT_NS = 1_000 * MS;
    private static final long RESTART_NOTICED_NS = 2_000 * MS;
    private static final long DRAIN_NS = 900_000 * MS;
    private static final long RELEASE_GRACE_NS = 60_000 * MS;
    private static final long CALL_TIMEOUT_NS = 60_000 * MS;
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
    private final Map<String, Long> lastNewsNs = new HashMap<>();
    private final Map<Long, CallRun> calls = new HashMap<>();
    private final ProgramDriver driver;
    private final List<ProgramPlan> plans;
    private long nextCallId;

    Simulation(
            LoadProfile profile,
            Fault.Kind faultKind,
            long seed,
            IntFunction<DecisionPolicy> policyOfOwner) {
        this.profile = profile;
        fault = Fault.of(faultKind, profile);
        noise = new FakeRunners.Noise(LOST_EVENT_SHARE, 100 * MS, 600 * MS, new Random(~seed));
        plans = new LoadGenerator(profile, seed).programs();
        driver = new ProgramDriver(clock, metrics, this);
        createRunners();
        for (int owner = 0; owner < profile.owners(); owner++) {
            policies.add(policyOfOwner.apply(owner));
        }
    }

    RunResult run() {
        Configuration configuration = configuration();
        for (int owner = 0; owner < policies.size(); owner++) {
            tell(owner, new SchedulingEvent.ConfigurationChanged(configuration));
        }
        for (ProgramPlan plan : plans) {
            clock.after(plan.arrivalNs(), () -> driver.start(plan));
        }
        clock.after(TICK_NS, this::tick);
        clock.after(PEER_EXCHANGE_NS, this::exchangeLoads);
        clock.after(REPORT_NS, this::report);
        scheduleFault();
        clock.runUntil(profile.durationNs());
        long endNs = profile.durationNs() + DRAIN_NS;
        while (!driver.live().isEmpty() && clock.nowNs() < endNs) {
            clock.runUntil(clock.nowNs() + REPORT_NS);
        }
        clock.runUntil(clock.nowNs() + RELEASE_GRACE_NS);
        driver.failRest();
        long leaked = 0;
        for (FakeRunners.FakeEngine engine : engines) {
            leaked += engine.heldForOthers(driver.live());
        }
        return metrics.result(profile.durationNs() / 1e9, leaked);
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
    public void call(ProgramRun program, boolean model) {
        ProgramPlan.Turn turn = program.turn();
        int owner = program.key().partition() % profile.owners();
        boolean repeatable = model || turn.repeatable();
        CallRun call = new CallRun(program, model, turn.serviceNs(), clock.nowNs(), owner);
        long callId = nextCallId++;
        calls.put(callId, call);
        Destination destination =
                model
                        ? new Destination.ModelDestination("model")
                        : new Destination.ServiceDestination("billing");
        tell(
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
    public void ended(ProgramKey program) {
        tell(program.partition() % profile.owners(), new SchedulingEvent.ProgramEnded(program));
    }

    private void tell(int owner, SchedulingEvent event) {
        for (SchedulingAction action : policies.get(owner).on(event, clock.nowNs())) {
            switch (action) {
                case SchedulingAction.Dispatch dispatch -> dispatch(owner, dispatch);
                case SchedulingAction.Refuse refuse -> {
                    metrics.refused();
                    CallRun call = calls.remove(refuse.callId());
                    driver.refused(call.program, call.model, refuse.retryAfterMs() * MS);
                }
                case SchedulingAction.GiveUp giveUp -> giveUp(giveUp);
                case SchedulingAction.CancelAttempt cancel -> {
                    FakeRunners.FakeRunner runner = runners.get(cancel.runner());
                    clock.after(NETWORK_NS, () -> runner.cancel(cancel.callId()));
                }
                case SchedulingAction.ReleaseCache release -> release(owner, release);
            }
        }
    }

    private void dispatch(int owner, SchedulingAction.Dispatch dispatch) {
        CallRun call = calls.get(dispatch.callId());
        call.attempt = dispatch.attempt();
        call.firstOutputNs = 0;
        if (dispatch.attempt() > 1) {
            metrics.retried();
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
        clock.after(
                NETWORK_NS,
                () -> {
                    call.arrivedNs = clock.nowNs();
                    runners.get(dispatch.runner()).accept(attempt);
                });
    }

    private void giveUp(SchedulingAction.GiveUp giveUp) {
        CallRun call = calls.remove(giveUp.callId());
        if (giveUp.lastFailure().mayHaveRun()) {
            driver.failed(call.program);
        } else {
            metrics.refused();
            driver.refused(call.program, call.model, giveUp.retryAfterMs() * MS);
        }
    }

    private void release(int owner, SchedulingAction.ReleaseCache release) {
        FakeRunners.FakeRunner runner = runners.get(release.runner());
        clock.after(
                NETWORK_NS,
                () -> {
                    if (!runner.down && runner instanceof FakeRunners.FakeEngine engine) {
                        engine.release(release.program());
                        tell(
                                owner,
                                new SchedulingEvent.CacheReleased(
                                        release.runner(), release.program()));
                    }
                });
    }

    private boolean current(FakeRunners.Attempt attempt) {
        CallRun call = calls.get(attempt.callId());
        return call != null && call.attempt == attempt.number();
    }

    @Override
    public void firstOutput(FakeRunners.Attempt attempt) {
        clock.after(
                NETWORK_NS,
                () -> {
                    if (current(attempt)) {
                        CallRun call = calls.get(attempt.callId());
                        call.firstOutputNs = clock.nowNs();
                        metrics.firstToken(
                                clock.nowNs() - call.submittedNs, clock.nowNs() - call.arrivedNs);
                        tell(call.owner, new SchedulingEvent.FirstOutput(attempt.callId()));
                    }
                });
    }

    @Override
    public void succeeded(FakeRunners.Attempt attempt, int cachedTokens) {
        clock.after(
                NETWORK_NS,
                () -> {
                    if (current(attempt)) {
                        succeed(attempt, cachedTokens);
                    }
                });
    }

    private void succeed(FakeRunners.Attempt attempt, int cachedTokens) {
        CallRun call = calls.remove(attempt.callId());
        SchedulingEvent event =
                call.model
                        ? new SchedulingEvent.Succeeded(
                                attempt.callId(),
                                attempt.promptTokens(),
                                cachedTokens,
                                attempt.outputTokens())
                        : new SchedulingEvent.Succeeded(attempt.callId(), 0, 0, 0);
        tell(call.owner, event);
        if (call.model) {
            metrics.answered(
                    attempt.promptTokens(),
                    Math.max(0, call.program.seenTokens() - cachedTokens),
                    attempt.outputTokens(),
                    clock.nowNs() - call.firstOutputNs);
        }
        driver.succeeded(call.program, call.model);
    }

    @Override
    public void failed(FakeRunners.Attempt attempt, CallFailure failure, long retryAfterMs) {
        clock.after(
                NETWORK_NS,
                () -> {
                    if (current(attempt)) {
                        tell(
                                attempt.owner(),
                                new SchedulingEvent.Failed(
                                        attempt.callId(), failure, retryAfterMs));
                    }
                });
    }

    @Override
    public void cacheChanged(String runner, long sequence, ProgramKey program, int tokens) {
        if (!noise.losesEvent()) {
            tellAllLate(
                    runner, new SchedulingEvent.CacheReported(runner, sequence, program, tokens));
        }
    }

    /** Tells all owners after a delay; what a runner tells arrives in order. */
    private void tellAllLate(String runner, SchedulingEvent event) {
        long arrivesNs =
                Math.max(lastNewsNs.getOrDefault(runner, 0L), clock.nowNs() + noise.lateNs());
        lastNewsNs.put(runner, arrivesNs);
        clock.after(arrivesNs - clock.nowNs(), () -> tellAll(event));
    }

    private void tellAll(SchedulingEvent event) {
        for (int owner = 0; owner < policies.size(); owner++) {
            tell(owner, event);
        }
    }

    private void tick() {
        tellAll(new SchedulingEvent.Tick());
        clock.after(TICK_NS, this::tick);
    }

    private void exchangeLoads() {
        for (int from = 0; from < policies.size(); from++) {
            List<PeerLoad> loads = policies.get(from).ownLoad();
            SchedulingEvent event = new SchedulingEvent.PeerLoadReported("owner-" + from, loads);
            for (int to = 0; to < policies.size(); to++) {
                int receiver = to;
                if (to != from) {
                    clock.after(2 * NETWORK_NS, () -> tell(receiver, event));
                }
            }
        }
        clock.after(PEER_EXCHANGE_NS, this::exchangeLoads);
    }

    private void report() {
        for (FakeRunners.FakeRunner runner : runners.values()) {
            if (!runner.down) {
                RunnerReport report = runner.report();
                tellAllLate(runner.name, new SchedulingEvent.LoadReported(report));
            }
        }
        clock.after(REPORT_NS, this::report);
    }

    private void scheduleFault() {
        List<FakeRunners.FakeRunner> victims = fault.victims(engines, services);
        clock.after(fault.fromNs(), () -> victims.forEach(this::strike));
        clock.after(fault.untilNs(), () -> victims.forEach(this::mend));
    }

    private void strike(FakeRunners.FakeRunner runner) {
        switch (fault.kind()) {
            case NONE -> {}
            case RUNNER_DIES, DOMAIN_GOES -> runner.crash();
            case RUNNER_SLOWS -> runner.slowdown = 5;
            case RUNNER_LIES -> runner.lies = true;
            case CACHE_RESTART -> {
                runner.crash();
                runner.restart();
                noticeRestart(runner);
            }
        }
    }

    private void mend(FakeRunners.FakeRunner runner) {
        runner.slowdown = 1;
        runner.lies = false;
        if (runner.down) {
            runner.restart();
            noticeRestart(runner);
        }
    }

    private void noticeRestart(FakeRunners.FakeRunner runner) {
        clock.after(
                RESTART_NOTICED_NS,
                () -> tellAll(new SchedulingEvent.RunnerRestarted(runner.name)));
    }
}
