package org.skylarkmast.core.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Workspace;

/** Admission control: limits on queued and in-flight calls, by workspace and destination. */
final class AdmissionControl {
    private static final double DEFAULT_WEIGHT = 1;
    private static final long NS_PER_MS = 1_000_000L;

    private final SchedulerSettings settings;
    private final Map<String, Integer> queued = new HashMap<>();
    private final Map<String, Integer> inFlight = new HashMap<>();

    private Configuration configuration = Configuration.EMPTY;

    AdmissionControl(SchedulerSettings settings) {
        this.settings = settings;
    }

    void setConfiguration(Configuration newConfiguration) {
        configuration = newConfiguration;
    }

    /** The reason to refuse a newly submitted call; empty if it is admitted. */
    Optional<RefusalReason> refusalReason(PendingCall call, long nowNs) {
        CallSubmission submission = call.submission;
        DestinationPool pool = call.pool;
        long maxWaitNs = submission.maxWaitMs() * NS_PER_MS;
        if (nowNs >= submission.deadlineNs()) {
            return Optional.of(RefusalReason.DEADLINE);
        }
        long unavailableNs = pool.unavailableNs(nowNs);
        if (unavailableNs < 0 || unavailableNs > maxWaitNs) {
            return Optional.of(RefusalReason.NO_RUNNER);
        }
        if (isWorkspaceQueueFull(submission.program().workspace())) {
            return Optional.of(RefusalReason.WORKSPACE_LIMIT);
        }
        if (pool.queue.size() >= settings.maxQueuedCalls() || refuseEarly(call, maxWaitNs)) {
            return Optional.of(RefusalReason.OVERLOADED);
        }
        return Optional.empty();
    }

    private boolean isWorkspaceQueueFull(String workspace) {
        Workspace declared = configuration.workspaces().get(workspace);
        int waiting = queued.getOrDefault(workspace, 0);
        return declared != null && waiting > 0 && waiting >= declared.maxQueuedCalls();
    }

    private boolean refuseEarly(PendingCall call, long maxWaitNs) {
        if (!settings.isEnabled(Mechanism.EARLY_REFUSAL) || !call.newProgram) {
            return false;
        }
        int ahead = call.pool.queue.countAhead(call.submission.priorityLevel());
        double allowedNs = settings.newProgramWaitShare() * maxWaitNs;
        boolean refused =
                call.pool.recentWaitNs() > allowedNs
                        || call.pool.predictedWaitNs(ahead) > maxWaitNs;
        if (refused) {
            call.pool.onNewProgramRefused();
        }
        return refused;
    }

    /** Whether another call of the workspace may be sent. */
    boolean isBelowConcurrencyLimit(String workspace) {
        Workspace declared = configuration.workspaces().get(workspace);
        return declared == null
                || inFlight.getOrDefault(workspace, 0) < declared.maxConcurrentCalls();
    }

    void onQueued(String workspace) {
        queued.merge(workspace, 1, Integer::sum);
    }

    void onDequeued(String workspace) {
        queued.merge(workspace, -1, Integer::sum);
    }

    void onSent(String workspace) {
        inFlight.merge(workspace, 1, Integer::sum);
    }

    void onAttemptEnded(String workspace) {
        inFlight.merge(workspace, -1, Integer::sum);
    }

    double weight(String workspace) {
        Workspace declared = configuration.workspaces().get(workspace);
        return declared == null ? DEFAULT_WEIGHT : declared.weight();
    }

    double cacheWeight(String workspace) {
        Workspace declared = configuration.workspaces().get(workspace);
        return declared == null ? 0 : declared.cacheWeight();
    }
}
