package org.skylarkmast.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.config.Workspace;
import org.skylarkmast.core.key.ProgramKey;

/** A scheduler with one model target and a clock that the test sets. */
final class SchedulerFixture {
    static final long NS_PER_MS = 1_000_000L;
    static final long MAX_WAIT_MS = 40_000;
    static final Destination MODEL = new Destination.ModelDestination("model");

    final CallScheduler scheduler;
    long nowNs;

    SchedulerFixture(SchedulerSettings settings, int runners, int maxConcurrentCalls) {
        scheduler = new CallScheduler(settings, new Random(7)::nextDouble);
        on(new SchedulingEvent.ConfigurationChanged(configuration(runners, maxConcurrentCalls)));
    }

    SchedulerFixture(int runners, int maxConcurrentCalls) {
        this(SchedulerSettings.defaults(), runners, maxConcurrentCalls);
    }

    static Configuration configuration(int runners, int maxConcurrentCalls) {
        List<Target.Runner> declared = new ArrayList<>();
        for (int i = 0; i < runners; i++) {
            declared.add(new Target.Runner("r" + i, "127.0.0.1:1", "a", maxConcurrentCalls));
        }
        Target target =
                new Target(
                        "t",
                        Target.Kind.MODEL_ENGINE,
                        List.of("model"),
                        declared,
                        List.of(),
                        false,
                        false);
        Workspace one = new Workspace("one", List.of(), 1, 50, 20, 1);
        Workspace two = new Workspace("two", List.of(), 3, 50, 20, 1);
        return new Configuration(
                1,
                Map.of("one", one, "two", two),
                Map.of(),
                Map.of("t", target),
                Map.of(),
                Map.of(),
                Map.of());
    }

    List<SchedulingAction> on(SchedulingEvent event) {
        return scheduler.on(event, nowNs);
    }

    List<SchedulingAction> submit(long callId, String program, boolean repeatable) {
        return submit(callId, new ProgramKey("one", program), repeatable, 1);
    }

    List<SchedulingAction> submit(
            long callId, ProgramKey program, boolean repeatable, int priorityLevel) {
        return on(
                new SchedulingEvent.Submitted(
                        new CallSubmission(
                                callId,
                                program,
                                MODEL,
                                repeatable,
                                1_000,
                                100,
                                priorityLevel,
                                MAX_WAIT_MS,
                                nowNs + 60_000 * NS_PER_MS)));
    }

    List<SchedulingAction> succeed(long callId) {
        return on(new SchedulingEvent.Succeeded(callId, 1_000, 0, 50));
    }

    List<SchedulingAction> fail(long callId, CallFailure failure) {
        return on(new SchedulingEvent.Failed(callId, failure, 0));
    }

    List<SchedulingAction> tickAfter(long ms) {
        nowNs += ms * NS_PER_MS;
        return on(new SchedulingEvent.Tick());
    }

    static List<Long> dispatched(List<SchedulingAction> actions) {
        return actions.stream()
                .filter(SchedulingAction.Dispatch.class::isInstance)
                .map(action -> ((SchedulingAction.Dispatch) action).callId())
                .toList();
    }
}
