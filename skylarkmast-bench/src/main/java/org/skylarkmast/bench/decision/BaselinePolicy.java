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

/**
 * Dispatches each call immediately, round robin or to the least loaded runner, and selects a runner
 * anew for each retry.
 */
final class BaselinePolicy implements DecisionPolicy {
    private static final int MAX_ATTEMPTS = 3;
    private static final long RETRY_AFTER_MS = 500;

    private final RunnerSelection selection;
    private final Map<Destination, List<String>> runners = new HashMap<>();
    private final Map<String, Integer> loads = new HashMap<>();
    private final Map<Long, DispatchedCall> dispatchedCalls = new LinkedHashMap<>();
    private int nextRunnerIndex;

    /** How the runner for a call is selected. */
    enum RunnerSelection {
        /** Each runner in turn. */
        ROUND_ROBIN,
        /** Fewest calls: as last reported, plus those dispatched by this owner since. */
        LEAST_LOADED
    }

    private record DispatchedCall(CallSubmission call, String runner, int attempt) {}

    /**
     * @param firstRunnerIndex index of the first runner to use; differs between owners so that they
     *     do not all start with the same runner
     */
    BaselinePolicy(RunnerSelection selection, int firstRunnerIndex) {
        this.selection = selection;
        nextRunnerIndex = firstRunnerIndex;
    }

    @Override
    public List<PeerLoad> ownLoad() {
        return List.of();
    }

    @Override
    public List<SchedulingAction> on(SchedulingEvent event, long nowNs) {
        return switch (event) {
            case SchedulingEvent.Submitted e -> List.of(dispatch(e.call(), 1));
            case SchedulingEvent.Succeeded e -> {
                dispatchedCalls.remove(e.callId());
                yield List.of();
            }
            case SchedulingEvent.Failed e -> retry(e);
            case SchedulingEvent.LoadReported e -> {
                loads.put(e.report().runner(), e.report().running() + e.report().waiting());
                yield List.of();
            }
            case SchedulingEvent.ConfigurationChanged e -> {
                onConfigurationChanged(e.configuration());
                yield List.of();
            }
            case SchedulingEvent.Tick e -> giveUpExpired(nowNs);
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

    private SchedulingAction dispatch(CallSubmission call, int attempt) {
        List<String> candidates = runners.get(call.destination());
        String runner = candidates.get(nextRunnerIndex++ % candidates.size());
        if (selection == RunnerSelection.LEAST_LOADED) {
            for (int i = 0; i < candidates.size(); i++) {
                String other = candidates.get((nextRunnerIndex + i) % candidates.size());
                if (loads.getOrDefault(other, 0) < loads.getOrDefault(runner, 0)) {
                    runner = other;
                }
            }
        }
        loads.merge(runner, 1, Integer::sum);
        dispatchedCalls.put(call.callId(), new DispatchedCall(call, runner, attempt));
        return new SchedulingAction.Dispatch(call.callId(), runner, attempt);
    }

    private List<SchedulingAction> retry(SchedulingEvent.Failed event) {
        DispatchedCall dispatched = dispatchedCalls.remove(event.callId());
        if (dispatched == null) {
            return List.of();
        }
        boolean safeToRetry = !event.failure().mayHaveRun() || dispatched.call().repeatable();
        if (safeToRetry && dispatched.attempt() < MAX_ATTEMPTS) {
            return List.of(dispatch(dispatched.call(), dispatched.attempt() + 1));
        }
        return List.of(
                new SchedulingAction.GiveUp(event.callId(), event.failure(), RETRY_AFTER_MS));
    }

    private List<SchedulingAction> giveUpExpired(long nowNs) {
        List<SchedulingAction> actions = new ArrayList<>();
        for (DispatchedCall dispatched : List.copyOf(dispatchedCalls.values())) {
            long callId = dispatched.call().callId();
            if (nowNs >= dispatched.call().deadlineNs()) {
                dispatchedCalls.remove(callId);
                actions.add(new SchedulingAction.CancelAttempt(callId, dispatched.runner()));
                actions.add(
                        new SchedulingAction.GiveUp(callId, CallFailure.TIMED_OUT, RETRY_AFTER_MS));
            }
        }
        return actions;
    }

    private void onConfigurationChanged(Configuration configuration) {
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
