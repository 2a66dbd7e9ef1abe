package org.skylarkmast.core.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.skylarkmast.core.scheduling.admission.CallQueue;
import org.skylarkmast.core.scheduling.retry.RetryBudget;
import org.skylarkmast.core.scheduling.routing.RunnerState;

/**
 * The runners of one destination, the calls that wait for them, and what is learnt of its calls.
 */
final class DestinationPool {
    private static final double INITIAL_OUTPUT_TOKENS = 100;
    private static final double INITIAL_CALL_NS = 1e9;
    private static final double SHARE = 0.05;

    final Destination destination;
    final CallQueue queue;
    final RetryBudget retryBudget;

    /** Calls submitted and not ended. */
    int liveCalls;

    private List<RunnerState> runners = List.of();
    private Set<RunnerState> members = Set.of();
    private double outputTokens = INITIAL_OUTPUT_TOKENS;
    private double callNs = INITIAL_CALL_NS;
    private double dispatchIntervalNs;
    private long lastDispatchNs = Long.MIN_VALUE;
    private double meanPrefillTokenNs;
    private double underWayWaitNs;
    private double runnerWaitNs;
    private double refusedCallers;
    private double admissionIntervalNs = INITIAL_CALL_NS;
    private long lastAdmissionNs = Long.MIN_VALUE;

    DestinationPool(
            Destination destination,
            ToDoubleFunction<String> weightOfWorkspace,
            RetryBudget retryBudget) {
        this.destination = destination;
        this.retryBudget = retryBudget;
        queue = new CallQueue(weightOfWorkspace);
    }

    List<RunnerState> runners() {
        return runners;
    }

    /** Whether the runner is one of this destination's. */
    boolean has(RunnerState runner) {
        return members.contains(runner);
    }

    void setRunners(List<RunnerState> newRunners) {
        runners = new ArrayList<>(newRunners);
        members = new HashSet<>(newRunners);
        refreshMeans();
    }

    /** Brings the averages over all runners up to date. */
    void refreshMeans() {
        double sum = 0;
        for (RunnerState runner : runners) {
            sum += runner.speed().prefillNs(1);
        }
        meanPrefillTokenNs = runners.isEmpty() ? 0 : sum / runners.size();
    }

    double meanPrefillTokenNs() {
        return meanPrefillTokenNs;
    }

    double expectedOutputTokens(int maxOutputTokens) {
        return Math.min(outputTokens, maxOutputTokens);
    }

    void onDispatch(long nowNs) {
        if (lastDispatchNs != Long.MIN_VALUE && queue.size() > 0) {
            double intervalNs = nowNs - lastDispatchNs;
            dispatchIntervalNs =
                    dispatchIntervalNs == 0
                            ? intervalNs
                            : dispatchIntervalNs + SHARE * (intervalNs - dispatchIntervalNs);
        }
        lastDispatchNs = nowNs;
    }

    /** Notes how long a call of a program under way waited. */
    void onUnderWayWait(long waitedNs) {
        underWayWaitNs += SHARE * (waitedNs - underWayWaitNs);
    }

    /** Notes how long a call waited inside its runner while others' prompts were worked on. */
    void onRunnerWait(double waitedNs) {
        runnerWaitNs += SHARE * (waitedNs - runnerWaitNs);
    }

    /** Recent wait of calls of programs under way, here and inside the runners, in nanoseconds. */
    double recentWaitNs() {
        return underWayWaitNs + runnerWaitNs;
    }

    /** Notes that a new program was sent away, to come back later. */
    void onNewProgramRefused() {
        refusedCallers++;
    }

    /** Notes that a new program's first call was sent to a runner. */
    void onNewProgramAdmitted(long nowNs) {
        refusedCallers = Math.max(0, refusedCallers - 1);
        if (lastAdmissionNs != Long.MIN_VALUE) {
            double intervalNs = nowNs - lastAdmissionNs;
            admissionIntervalNs += SHARE * (intervalNs - admissionIntervalNs);
        }
        lastAdmissionNs = nowNs;
    }

    /** Time in which those sent away before should be admitted, in nanoseconds. */
    double returnNs() {
        return refusedCallers * admissionIntervalNs;
    }

    void onSuccess(int newOutputTokens, long elapsedNs) {
        outputTokens += SHARE * (newOutputTokens - outputTokens);
        callNs += SHARE * (elapsedNs - callNs);
    }

    /** Predicted wait behind {@code ahead} calls, in nanoseconds; 0 while nothing waits. */
    double predictedWaitNs(int ahead) {
        if (ahead == 0) {
            return 0;
        }
        double intervalNs =
                dispatchIntervalNs == 0 ? callNs / Math.max(1, runners.size()) : dispatchIntervalNs;
        return ahead * intervalNs;
    }

    /** Time until any runner takes calls, in nanoseconds; -1 if none is expected to. */
    long unavailableNs(long nowNs) {
        long leastNs = -1;
        for (RunnerState runner : runners) {
            if (runner.leaving()) {
                continue;
            }
            long runnerNs = runner.accepts(nowNs) ? 0 : runner.unavailableNs(nowNs);
            leastNs = leastNs < 0 ? runnerNs : Math.min(leastNs, runnerNs);
            if (leastNs == 0) {
                return 0;
            }
        }
        return leastNs;
    }
}
