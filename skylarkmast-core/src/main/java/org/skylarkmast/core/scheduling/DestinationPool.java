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
 * The runners of one destination, the calls queued for them, and moving averages over its calls.
 */
final class DestinationPool {
    private static final double INITIAL_OUTPUT_TOKENS = 100;
    private static final double INITIAL_CALL_NS = 1e9;
    private static final double EWMA_WEIGHT = 0.05;

    final Destination destination;
    final CallQueue queue;
    final RetryBudget retryBudget;

    /** Calls submitted and not yet ended. */
    int outstandingCalls;

    private List<RunnerState> runners = List.of();
    private Set<RunnerState> members = Set.of();
    private double meanOutputTokens = INITIAL_OUTPUT_TOKENS;
    private double meanCallNs = INITIAL_CALL_NS;
    private double dispatchIntervalNs;
    private long lastDispatchNs = Long.MIN_VALUE;
    private double meanPrefillTokenNs;
    private double startedProgramWaitNs;
    private double prefillQueueWaitNs;
    private double refusedPrograms;
    private double admissionIntervalNs = INITIAL_CALL_NS;
    private long lastAdmissionNs = Long.MIN_VALUE;

    DestinationPool(
            Destination destination,
            ToDoubleFunction<String> workspaceWeight,
            RetryBudget retryBudget) {
        this.destination = destination;
        this.retryBudget = retryBudget;
        queue = new CallQueue(workspaceWeight);
    }

    List<RunnerState> runners() {
        return runners;
    }

    boolean contains(RunnerState runner) {
        return members.contains(runner);
    }

    void setRunners(List<RunnerState> newRunners) {
        runners = new ArrayList<>(newRunners);
        members = new HashSet<>(newRunners);
        refreshMeanPrefillTokenNs();
    }

    /** Recomputes the mean prefill time per token over the runners. */
    void refreshMeanPrefillTokenNs() {
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
        return Math.min(meanOutputTokens, maxOutputTokens);
    }

    void onDispatch(long nowNs) {
        if (lastDispatchNs != Long.MIN_VALUE && queue.size() > 0) {
            double intervalNs = nowNs - lastDispatchNs;
            dispatchIntervalNs =
                    dispatchIntervalNs == 0
                            ? intervalNs
                            : dispatchIntervalNs + EWMA_WEIGHT * (intervalNs - dispatchIntervalNs);
        }
        lastDispatchNs = nowNs;
    }

    /** Records the queueing time of a call of a program that has already started. */
    void onStartedProgramWait(long waitedNs) {
        startedProgramWaitNs += EWMA_WEIGHT * (waitedNs - startedProgramWaitNs);
    }

    /** Records how long a call waited inside its runner while other prompts were prefilled. */
    void onPrefillQueueWait(double waitedNs) {
        prefillQueueWaitNs += EWMA_WEIGHT * (waitedNs - prefillQueueWaitNs);
    }

    /**
     * Average recent wait of calls of started programs, in the queue and inside the runners, in
     * nanoseconds.
     */
    double recentWaitNs() {
        return startedProgramWaitNs + prefillQueueWaitNs;
    }

    /** Records that a new program was refused; its caller is expected to retry. */
    void onNewProgramRefused() {
        refusedPrograms++;
    }

    /** Records that the first call of a new program was sent to a runner. */
    void onNewProgramAdmitted(long nowNs) {
        refusedPrograms = Math.max(0, refusedPrograms - 1);
        if (lastAdmissionNs != Long.MIN_VALUE) {
            double intervalNs = nowNs - lastAdmissionNs;
            admissionIntervalNs += EWMA_WEIGHT * (intervalNs - admissionIntervalNs);
        }
        lastAdmissionNs = nowNs;
    }

    /** Estimated time to admit the new programs that were refused earlier, in nanoseconds. */
    double refusedProgramsDrainNs() {
        return refusedPrograms * admissionIntervalNs;
    }

    void onSuccess(int newOutputTokens, long elapsedNs) {
        meanOutputTokens += EWMA_WEIGHT * (newOutputTokens - meanOutputTokens);
        meanCallNs += EWMA_WEIGHT * (elapsedNs - meanCallNs);
    }

    /** Predicted wait behind {@code ahead} calls, in nanoseconds; 0 if there are none. */
    double predictedWaitNs(int ahead) {
        if (ahead == 0) {
            return 0;
        }
        double intervalNs =
                dispatchIntervalNs == 0
                        ? meanCallNs / Math.max(1, runners.size())
                        : dispatchIntervalNs;
        return ahead * intervalNs;
    }

    /**
     * Time until a runner accepts calls, in nanoseconds; -1 if there is none or all are leaving.
     */
    long unavailableNs(long nowNs) {
        long minNs = -1;
        for (RunnerState runner : runners) {
            if (runner.leaving()) {
                continue;
            }
            long runnerNs = runner.accepts(nowNs) ? 0 : runner.unavailableNs(nowNs);
            minNs = minNs < 0 ? runnerNs : Math.min(minNs, runnerNs);
            if (minNs == 0) {
                return 0;
            }
        }
        return minNs;
    }
}
