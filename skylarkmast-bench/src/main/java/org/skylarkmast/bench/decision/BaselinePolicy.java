package org.skylarkmast.bench.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.core.scheduling.CallSubmission;
import org.skylarkmast.core.scheduling.Destination;
import org.skylarkmast.core.scheduling.PeerLoad;
import org.skylarkmast.core.scheduling.SchedulingAction;
import org.skylarkmast.core.scheduling.SchedulingEvent;

/** Sends each call at once, in turn or to the least loaded; tries others when a send fails. */
final class BaselinePolicy implements DecisionPolicy {
    private static final int MAX_ATTEMPTS = 3;
    private static final long RETRY_AFTER_MS = 500;

    private final Choice choice;
    private final Map<Destination, List<String>> runners = new HashMap<>();
    private final Map<String, Integer> loads = new HashMap<>();
    private final Map<Long, Sent> calls = new LinkedHashMap<>();
    private int next;

    /** How a runner is chosen. */
    enum Choice {
        /** One after the other. */
        ROUND_ROBIN,
        /** The fewest calls: as last reported, with the own sends since. */
        LEAST_LOADED
    }

    private record Sent(CallSubmission call, String runner, int attempt) {}

    /** Starts with the next runner to use; owners start at different ones. */
    BaselinePolicy(Choice choice, int start) {
        this.choice = choice;
        next = start;
    }

    @Override
    public List<PeerLoad> ownLoad() {
        return List.of();
    }

    @Override
    public List<SchedulingAction> on(SchedulingEvent event, long nowNs) {
        return switch (event) {
            case SchedulingEvent.Submitted e -> List.of(send(e.call(), 1));
            case SchedulingEvent.Succeeded e -> {
                calls.remove(e.callId());
                yield List.of();
            }
            case SchedulingEvent.Failed e -> retry(e);
            case SchedulingEvent.LoadReported e -> {
                loads.put(e.report().runner(), e.report().running() + e.report().waiting());
                yield List.of();
            }
            case SchedulingEvent.ConfigurationChanged e -> {
                configure(e.configuration());
                yield List.of();
            }
            case SchedulingEvent.Tick e -> cutLate(nowNs);
            case SchedulingEvent.Withdrawn e -> List.of();
            case SchedulingEvent.FirstOutput e -> List.of();
            case SchedulingEvent.CacheReported e -> List.of();
            case SchedulingEvent.RunnerRestarted e -> List.of();
            case SchedulingEvent.PeerLoadReported e -> List.of();
            case SchedulingEvent.PeerGone e -> List.of();
            case SchedulingEvent.RunnerLeaving e -> List.of();
            case SchedulingEvent.ProgramAdopted e -> List.of();
            case SchedulingEvent.ProgramEnded e -> List.of();
            case SchedulingEvent.CacheReleased e -> List.of();
        };
    }

    private SchedulingAction send(CallSubmission call, int attempt) {
        List<String> candidates = runners.get(call.destination());
        String runner = candidates.get(next++ % candidates.size());
        if (choice == Choice.LEAST_LOADED) {
            for (int i = 0; i < candidates.size(); i++) {
                String other = candidates.get((next + i) % candidates.size());
                if (loads.getOrDefault(other, 0) < loads.getOrDefault(runner, 0)) {
                    runner = other;
                }
            }
        }
        loads.merge(runner, 1, Integer::sum);
        calls.put(call.callId(), new Sent(call, runner, attempt));
        return new SchedulingAction.Dispatch(call.callId(), runner, attempt);
    }

    private List<SchedulingAction> retry(SchedulingEvent.Failed event) {
        Sent sent = calls.remove(event.callId());
        if (sent == null) {
            return List.of();
        }
        boolean harmless = !event.failure().mayHaveRun() || sent.call().repeatable();
        if (harmless && sent.attempt() < MAX_ATTEMPTS) {
            return List.of(send(sent.call(), sent.attempt() + 1));
        }
        return List.of(
                new SchedulingAction.GiveUp(event.callId(), event.failure(), RETRY_AFTER_MS));
    }

    private List<SchedulingAction> cutLate(long nowNs) {
        List<SchedulingAction> actions = new ArrayList<>();
        for (Sent sent : List.copyOf(calls.values())) {
            long callId = sent.call().callId();
            if (nowNs >= sent.call().deadlineNs()) {
                calls.remove(callId);
                actions.add(new SchedulingAction.CancelAttempt(callId, sent.runner()));
                actions.add(
                        new SchedulingAction.GiveUp(callId, CallFailure.TIMED_OUT, RETRY_AFTER_MS));
            }
        }
        return actions;
    }

    private void configure(Configuration configuration) {
        for (Target target : configuration.targets().values()) {
            List<String> names = target.runners().stream().map(Target.Runner::name).toList();
            Destination destination =
                    target.kind() == Target.Kind.MODEL_ENGINE
                            ? new Destination.ModelDestination(target.models().getFirst())
                            : new Destination.ServiceDestination(target.name());
            runners.put(destination, names);
        }
    }
}
