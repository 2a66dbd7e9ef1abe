package org.skylarkmast.bench.decision;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.scheduling.CallScheduler;
import org.skylarkmast.core.scheduling.CallSubmission;
import org.skylarkmast.core.scheduling.Destination;
import org.skylarkmast.core.scheduling.SchedulerSettings;
import org.skylarkmast.core.scheduling.SchedulingAction;
import org.skylarkmast.core.scheduling.SchedulingEvent;

/** Measures the wall-clock time per scheduling decision and the memory per live program. */
public final class DecisionCost {
    private static final int WARM_UP_CALLS = 100_000;
    private static final int MEASURED_CALLS = 200_000;
    private static final int CALLS_PER_RUNNER = 8;
    private static final int RUNNER_SLOTS = 24;
    private static final long CALL_DURATION_NS = 1_000_000_000L;
    private static final long CALL_TIMEOUT_NS = 60_000_000_000L;

    private final CallScheduler scheduler;
    private final Random random = new Random(17);
    private final List<ProgramKey> programs;
    private final Deque<Long> inFlight = new ArrayDeque<>();
    private final int maxInFlight;
    private final Histogram submitNs = new Histogram(3);
    private final Histogram cycleNs = new Histogram(3);
    private long nextCallId;
    private long nowNs;

    private DecisionCost(int runners, int programCount) {
        scheduler = new CallScheduler(SchedulerSettings.defaults(), random::nextDouble);
        maxInFlight = CALLS_PER_RUNNER * runners;
        programs = new ArrayList<>(programCount);
        for (int i = 0; i < programCount; i++) {
            programs.add(new ProgramKey("workspace", "program-" + i));
        }
        scheduler.on(new SchedulingEvent.ConfigurationChanged(configuration(runners)), nowNs);
    }

    /** Prints the costs for several numbers of runners and of programs. */
    public static void main(String[] arguments) {
        PrintStream out = System.out;
        out.println("runners programs submitMeanUs submitP99Us cycleMeanUs bytesPerProgram");
        for (int runners : new int[] {10, 100, 1_000, 4_600}) {
            measure(runners, 100_000, out);
        }
        for (int programs : new int[] {1_000, 10_000, 470_000}) {
            measure(100, programs, out);
        }
    }

    private static void measure(int runners, int programCount, PrintStream out) {
        DecisionCost cost = new DecisionCost(runners, programCount);
        long beforeBytes = usedBytes();
        for (ProgramKey program : cost.programs) {
            cost.submit(program, false);
        }
        cost.finishAllInFlight();
        long bytesPerProgram = (usedBytes() - beforeBytes) / programCount;
        for (int i = 0; i < WARM_UP_CALLS; i++) {
            cost.submit(cost.randomProgram(), false);
        }
        for (int i = 0; i < MEASURED_CALLS; i++) {
            cost.submit(cost.randomProgram(), true);
        }
        out.printf(
                Locale.ROOT,
                "%7d %8d %12.2f %11.2f %11.2f %15d%n",
                runners,
                programCount,
                cost.submitNs.getMean() / 1e3,
                cost.submitNs.getValueAtPercentile(99) / 1e3,
                cost.cycleNs.getMean() / 1e3,
                bytesPerProgram);
    }

    private ProgramKey randomProgram() {
        return programs.get(random.nextInt(programs.size()));
    }

    private void submit(ProgramKey program, boolean measured) {
        nowNs += CALL_DURATION_NS / maxInFlight;
        long callId = nextCallId++;
        CallSubmission submission =
                new CallSubmission(
                        callId,
                        program,
                        new Destination.ModelDestination("model"),
                        true,
                        2_000,
                        200,
                        1,
                        20_000,
                        nowNs + CALL_TIMEOUT_NS);
        SchedulingEvent event = new SchedulingEvent.Submitted(submission);
        long startNs = System.nanoTime();
        List<SchedulingAction> actions = scheduler.on(event, nowNs);
        long submitEndNs = System.nanoTime();
        recordDispatches(actions);
        if (inFlight.size() > maxInFlight) {
            finishOldestInFlight();
        }
        if (measured) {
            submitNs.recordValue(submitEndNs - startNs);
            cycleNs.recordValue(System.nanoTime() - startNs);
        }
    }

    private void finishOldestInFlight() {
        long callId = inFlight.remove();
        scheduler.on(new SchedulingEvent.FirstOutput(callId), nowNs);
        recordDispatches(scheduler.on(new SchedulingEvent.Succeeded(callId, 2_000, 0, 100), nowNs));
    }

    private void recordDispatches(List<SchedulingAction> actions) {
        for (SchedulingAction action : actions) {
            if (action instanceof SchedulingAction.Dispatch dispatch) {
                inFlight.add(dispatch.callId());
            }
        }
    }

    private void finishAllInFlight() {
        while (!inFlight.isEmpty()) {
            finishOldestInFlight();
        }
    }

    private static Configuration configuration(int runners) {
        List<Target.Runner> declared =
                IntStream.range(0, runners)
                        .mapToObj(i -> new Target.Runner("r" + i, "127.0.0.1:1", "a", RUNNER_SLOTS))
                        .toList();
        Target target =
                new Target(
                        "engines",
                        Target.Kind.MODEL_ENGINE,
                        List.of("model"),
                        declared,
                        List.of(),
                        false,
                        false);
        return new Configuration(
                1, Map.of(), Map.of(), Map.of("engines", target), Map.of(), Map.of(), Map.of());
    }

    private static long usedBytes() {
        System.gc();
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
