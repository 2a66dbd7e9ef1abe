package org.skylarkmast.core.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.scheduling.admission.CallQueue;
import org.skylarkmast.core.scheduling.routing.RunnerState;

/**
 * Decides which call runs next and on which runner, and which calls are refused or retried.
 *
 * <p>Each submitted call ends in exactly one of: {@link SchedulingAction.Refuse}, {@link
 * SchedulingAction.GiveUp}, or one of the events {@link SchedulingEvent.Succeeded} and {@link
 * SchedulingEvent.Withdrawn}. Events of calls that have ended are ignored, so late answers and
 * answers that cross a cancellation have no effect. {@code Refuse} is chosen only if no attempt can
 * have run.
 *
 * <p>Not thread-safe: owned by one event loop.
 */
public final class CallScheduler {
    private static final int MAX_SCANNED_CALLS = 32;
    private static final double SLOW_FACTOR = 3;
    private static final long NS_PER_MS = 1_000_000L;

    private final SchedulerSettings settings;
    private final RunnerTable table;
    private final CacheTracker caches;
    private final RunnerChooser chooser;
    private final RetryAfter retryAfter;
    private final AdmissionControl admission;
    private final Map<Long, PendingCall> calls = new LinkedHashMap<>();
    private List<SchedulingAction> actions = new ArrayList<>();

    /**
     * Creates a scheduler with the empty configuration, which has no runners.
     *
     * @param random source of values in [0, 1), seeded in tests
     */
    public CallScheduler(SchedulerSettings settings, DoubleSupplier random) {
        this.settings = settings;
        admission = new AdmissionControl(settings);
        table = new RunnerTable(settings, admission::weight);
        caches = new CacheTracker(settings);
        chooser = new RunnerChooser(settings, table, caches, random);
        retryAfter = new RetryAfter(random);
    }

    /**
     * Handles one event.
     *
     * @param nowNs monotonic time, never less than at an earlier event
     * @return the actions to perform now, in this order
     */
    public List<SchedulingAction> on(SchedulingEvent event, long nowNs) {
        actions = new ArrayList<>();
        switch (event) {
            case SchedulingEvent.Submitted e -> submit(e.call(), nowNs);
            case SchedulingEvent.Withdrawn e -> withdraw(e.callId(), nowNs);
            case SchedulingEvent.FirstOutput e -> recordFirstOutput(e.callId(), nowNs);
            case SchedulingEvent.Succeeded e -> succeed(e, nowNs);
            case SchedulingEvent.Failed e -> fail(e, nowNs);
            case SchedulingEvent.LoadReported e -> table.onLoadReported(e.report());
            case SchedulingEvent.CacheReported e -> caches.onCacheReported(e, nowNs, actions);
            case SchedulingEvent.RunnerRestarted e -> caches.onCacheCleared(e.runner());
            case SchedulingEvent.PeerLoadReported e -> updatePeerLoad(e.peer(), e.loads(), nowNs);
            case SchedulingEvent.PeerGone e -> updatePeerLoad(e.peer(), List.of(), nowNs);
            case SchedulingEvent.ConfigurationChanged e -> configure(e.configuration(), nowNs);
            case SchedulingEvent.RunnerLeaving e -> setLeaving(e.runner(), e.leaving(), nowNs);
            case SchedulingEvent.ProgramAdopted e -> caches.onAdopted(e.program());
            case SchedulingEvent.ProgramEnded e ->
                    caches.onProgramEnded(e.program(), table.engineRunners(), nowNs, actions);
            case SchedulingEvent.CacheReleased e -> caches.onReleased(e.runner(), e.program());
            case SchedulingEvent.Tick e -> tick(nowNs);
        }
        return actions;
    }

    /** The number of queued calls. */
    public int queued() {
        int queued = 0;
        for (DestinationPool pool : table.pools()) {
            queued += pool.queue.size();
        }
        return queued;
    }

    /** The number of cache releases that runners have not confirmed. */
    public int pendingReleases() {
        return caches.pendingReleases();
    }

    /** The load of this node's own calls on each runner, to be reported to its peers. */
    public List<PeerLoad> ownLoad() {
        return table.ownLoad();
    }

    public List<RunnerStatus> runnerStatuses(long nowNs) {
        return table.statuses(nowNs);
    }

    private void submit(CallSubmission submission, long nowNs) {
        if (calls.containsKey(submission.callId())) {
            throw new IllegalStateException("call submitted twice: " + submission.callId());
        }
        RootProgram root = caches.onSubmitted(submission.program(), nowNs);
        DestinationPool pool = table.pool(submission.destination());
        if (pool == null) {
            refuse(submission, RefusalReason.NO_RUNNER, retryAfter.defaultMs());
            return;
        }
        PendingCall call = new PendingCall(submission, pool, !root.started, nowNs);
        Optional<RefusalReason> reason = admission.refusalReason(call, nowNs);
        if (reason.isPresent()) {
            refuse(submission, reason.get(), retryAfter.ms(pool, nowNs));
            return;
        }
        calls.put(submission.callId(), call);
        pool.outstandingCalls++;
        enqueue(call, root, nowNs);
        drain(pool, nowNs);
    }

    private void enqueue(PendingCall call, RootProgram root, long nowNs) {
        String workspace = call.submission.program().workspace();
        call.queuedAtNs = nowNs;
        admission.onQueued(workspace);
        call.pool.queue.add(
                new CallQueue.Entry(
                        call.submission.callId(),
                        workspace,
                        call.submission.priorityLevel(),
                        root.rank(settings, nowNs)));
    }

    private void dequeue(PendingCall call) {
        call.pool.queue.remove(call.submission.callId());
        admission.onDequeued(call.submission.program().workspace());
    }

    private void drainAll(long nowNs) {
        for (DestinationPool pool : table.pools()) {
            drain(pool, nowNs);
        }
    }

    private void drain(DestinationPool pool, long nowNs) {
        if (pool.queue.size() == 0) {
            return;
        }
        for (CallQueue.Entry entry : pool.queue.first(MAX_SCANNED_CALLS)) {
            if (!admission.isBelowConcurrencyLimit(entry.workspace())) {
                continue;
            }
            PendingCall call = calls.get(entry.callId());
            double cacheWeight = admission.cacheWeight(entry.workspace());
            RunnerState runner = chooser.choose(call, cacheWeight, nowNs);
            if (runner != null && runner.hasFreeSlot()) {
                dispatch(call, runner, nowNs);
            }
        }
    }

    private void dispatch(PendingCall call, RunnerState runner, long nowNs) {
        CallSubmission submission = call.submission;
        dequeue(call);
        chooser.predict(call, runner, nowNs);
        call.attempts++;
        call.runner = runner;
        call.inFlight = true;
        call.outputStarted = false;
        call.sentAtNs = nowNs;
        call.concurrentCalls = runner.inFlightCalls();
        if (call.attempts == 1) {
            call.pool.retryBudget.deposit();
        }
        call.pool.onDispatch(nowNs);
        if (call.newProgram) {
            call.pool.onNewProgramAdmitted(nowNs);
        } else {
            call.pool.onStartedProgramWait(nowNs - call.queuedAtNs);
        }
        call.pool.queue.charge(
                submission.program().workspace(),
                call.expectedUncachedTokens + call.expectedOutputTokens + 1);
        runner.addOwnCall(call.expectedUncachedTokens, call.expectedOutputTokens);
        runner.breaker().onSent();
        admission.onSent(submission.program().workspace());
        RootProgram root = caches.root(submission.program());
        if (root != null) {
            root.started = true;
        }
        if (call.isModelCall()) {
            caches.onDispatched(submission.program(), runner.name(), nowNs);
        }
        actions.add(
                new SchedulingAction.Dispatch(submission.callId(), runner.name(), call.attempts));
    }

    private void recordFirstOutput(long callId, long nowNs) {
        PendingCall call = calls.get(callId);
        if (call == null || !call.inFlight || call.outputStarted) {
            return;
        }
        call.outputStarted = true;
        call.firstOutputAtNs = nowNs;
        call.runner.endPrefill(call.expectedUncachedTokens);
        call.runner.speed().observePrefill(call.prefillTokensToFirstOutput, nowNs - call.sentAtNs);
        call.pool.onPrefillQueueWait(call.otherCallsPrefillShare() * (nowNs - call.sentAtNs));
    }

    private void succeed(SchedulingEvent.Succeeded event, long nowNs) {
        PendingCall call = calls.get(event.callId());
        if (call == null || !call.inFlight) {
            return;
        }
        RunnerState runner = call.runner;
        if (call.outputStarted) {
            runner.speed()
                    .observeOutput(
                            event.outputTokens() - 1,
                            nowNs - call.firstOutputAtNs,
                            (call.concurrentCalls + runner.inFlightCalls()) / 2);
        }
        runner.speed().observeCall(nowNs - call.sentAtNs);
        runner.limit().onSuccess();
        call.pool.onSuccess(event.outputTokens(), nowNs - call.sentAtNs);
        endAttempt(call, nowNs);
        runner.breaker().onSuccess();
        if (call.isModelCall()) {
            int cachedTokens = event.promptTokens() + event.outputTokens();
            caches.onSucceeded(call.submission.program(), runner.name(), cachedTokens, nowNs);
        }
        removeCall(call);
        drainAll(nowNs);
    }

    private void fail(SchedulingEvent.Failed event, long nowNs) {
        PendingCall call = calls.get(event.callId());
        if (call == null || !call.inFlight) {
            return;
        }
        RunnerState runner = call.runner;
        int inFlightCalls = runner.inFlightCalls();
        endAttempt(call, nowNs);
        table.onFailure(runner, event, inFlightCalls, nowNs);
        if (event.failure().mayHaveRun()) {
            call.ambiguousFailure = event.failure();
        }
        if (mayRetry(call, event.failure(), nowNs)) {
            enqueue(call, caches.onSubmitted(call.submission.program(), nowNs), nowNs);
        } else {
            RefusalReason reason =
                    call.pool.unavailableNs(nowNs) == 0
                            ? RefusalReason.OVERLOADED
                            : RefusalReason.NO_RUNNER;
            end(call, event.failure(), reason, nowNs);
        }
        drainAll(nowNs);
    }

    private boolean mayRetry(PendingCall call, CallFailure failure, long nowNs) {
        boolean safeToRetry =
                failure.mayHaveRun()
                        ? call.submission.repeatable()
                        : failure != CallFailure.STALE_EPOCH;
        return safeToRetry
                && call.attempts < settings.maxAttempts()
                && nowNs < call.submission.deadlineNs()
                && call.pool.unavailableNs(nowNs) >= 0
                && (!settings.isEnabled(Mechanism.RETRY_BUDGET)
                        || call.pool.retryBudget.tryWithdraw());
    }

    /** Ends a call: refuses it if none of its attempts can have run, and gives it up otherwise. */
    private void end(PendingCall call, CallFailure failure, RefusalReason reason, long nowNs) {
        removeCall(call);
        long retryAfterMs = retryAfter.ms(call.pool, nowNs);
        if (call.ambiguousFailure != null) {
            actions.add(
                    new SchedulingAction.GiveUp(
                            call.submission.callId(), call.ambiguousFailure, retryAfterMs));
        } else if (failure == CallFailure.STALE_EPOCH) {
            actions.add(
                    new SchedulingAction.GiveUp(call.submission.callId(), failure, retryAfterMs));
        } else {
            refuse(call.submission, reason, retryAfterMs);
        }
    }

    private void refuse(CallSubmission submission, RefusalReason reason, long retryAfterMs) {
        actions.add(new SchedulingAction.Refuse(submission.callId(), reason, retryAfterMs));
    }

    /** Accounts for the end of an attempt: load, limits, attained service and cache release. */
    private void endAttempt(PendingCall call, long nowNs) {
        RunnerState runner = call.runner;
        call.inFlight = false;
        if (!call.outputStarted) {
            runner.endPrefill(call.expectedUncachedTokens);
        }
        runner.removeOwnCall(call.expectedOutputTokens);
        admission.onAttemptEnded(call.submission.program().workspace());
        RootProgram root = caches.root(call.submission.program());
        if (root != null) {
            root.attainedServiceNs += nowNs - call.sentAtNs;
        }
        if (call.isModelCall()) {
            caches.onAttemptEnded(call.submission.program(), runner.name(), nowNs, actions);
        }
    }

    private void removeCall(PendingCall call) {
        calls.remove(call.submission.callId());
        call.pool.outstandingCalls--;
    }

    private void withdraw(long callId, long nowNs) {
        PendingCall call = calls.get(callId);
        if (call == null) {
            return;
        }
        if (call.inFlight) {
            cancel(call, nowNs);
            call.runner.breaker().onInconclusive();
        } else {
            dequeue(call);
        }
        removeCall(call);
        drainAll(nowNs);
    }

    private void cancel(PendingCall call, long nowNs) {
        actions.add(
                new SchedulingAction.CancelAttempt(call.submission.callId(), call.runner.name()));
        endAttempt(call, nowNs);
    }

    private void updatePeerLoad(String peer, List<PeerLoad> loads, long nowNs) {
        if (settings.isEnabled(Mechanism.PEER_LOADS)) {
            table.setPeerLoads(peer, loads);
            drainAll(nowNs);
        }
    }

    private void configure(Configuration configuration, long nowNs) {
        admission.setConfiguration(configuration);
        Set<String> removed = table.apply(configuration);
        removed.forEach(caches::onCacheCleared);
        refuseUnservableCalls(nowNs);
        drainAll(nowNs);
    }

    private void setLeaving(String runner, boolean leaving, long nowNs) {
        table.setLeaving(runner, leaving);
        refuseUnservableCalls(nowNs);
        drainAll(nowNs);
    }

    private void refuseUnservableCalls(long nowNs) {
        for (DestinationPool pool : table.pools()) {
            if (pool.unavailableNs(nowNs) < 0) {
                endQueued(pool, RefusalReason.NO_RUNNER, nowNs);
            }
        }
    }

    private void endQueued(DestinationPool pool, RefusalReason reason, long nowNs) {
        for (long callId : pool.queue.callIds()) {
            endQueued(calls.get(callId), reason, nowNs);
        }
    }

    private void endQueued(PendingCall call, RefusalReason reason, long nowNs) {
        dequeue(call);
        end(call, call.ambiguousFailure, reason, nowNs);
    }

    private void tick(long nowNs) {
        for (RunnerState runner : table.runners()) {
            runner.setOverdueFactor(1);
        }
        for (PendingCall call : List.copyOf(calls.values())) {
            if (call.inFlight) {
                checkInFlight(call, nowNs);
            } else {
                checkQueued(call, nowNs);
            }
        }
        for (DestinationPool pool : table.pools()) {
            pool.refreshMeanPrefillTokenNs();
        }
        caches.retryReleases(nowNs, actions);
        drainAll(nowNs);
    }

    private void checkQueued(PendingCall call, long nowNs) {
        if (nowNs >= call.submission.deadlineNs()) {
            endQueued(call, RefusalReason.DEADLINE, nowNs);
        } else if (nowNs - call.queuedAtNs >= call.submission.maxWaitMs() * NS_PER_MS) {
            endQueued(call, RefusalReason.WAITED_TOO_LONG, nowNs);
        }
    }

    private void checkInFlight(PendingCall call, long nowNs) {
        if (nowNs >= call.submission.deadlineNs()) {
            cancelAtDeadline(call, nowNs);
        } else if (!call.outputStarted && settings.isEnabled(Mechanism.SLOW_DETECTION)) {
            double factor = (nowNs - call.sentAtNs) / call.predictedFirstOutputNs;
            if (factor > SLOW_FACTOR && factor > call.runner.overdueFactor()) {
                call.runner.setOverdueFactor(factor);
            }
        }
    }

    private void cancelAtDeadline(PendingCall call, long nowNs) {
        boolean noOutput = !call.outputStarted;
        cancel(call, nowNs);
        if (noOutput && settings.isEnabled(Mechanism.CIRCUIT_BREAKER)) {
            call.runner.breaker().onFailure(nowNs);
        } else {
            call.runner.breaker().onInconclusive();
        }
        call.ambiguousFailure = CallFailure.TIMED_OUT;
        end(call, CallFailure.TIMED_OUT, RefusalReason.DEADLINE, nowNs);
    }
}
