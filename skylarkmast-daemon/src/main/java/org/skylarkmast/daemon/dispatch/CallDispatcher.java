package org.skylarkmast.daemon.dispatch;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.PartitionDirectory;
import org.skylarkmast.core.program.ProgramAction;
import org.skylarkmast.core.program.ProgramEvent;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.core.scheduling.CallScheduler;
import org.skylarkmast.core.scheduling.CallSubmission;
import org.skylarkmast.core.scheduling.SchedulingAction;
import org.skylarkmast.core.scheduling.SchedulingEvent;
import org.skylarkmast.daemon.partition.PartitionCallHandler;
import org.skylarkmast.daemon.partition.PartitionRuntime;
import org.skylarkmast.daemon.telemetry.DaemonMetrics;
import org.skylarkmast.daemon.telemetry.Tracing;
import org.skylarkmast.http.AbortSignal;
import org.skylarkmast.http.HttpClient;

/**
 * Runs the scheduler on its event loop and sends the calls that it dispatches.
 *
 * <p>Thread-safe. The scheduler is accessed only on its loop; each attempt runs on a thread of its
 * own.
 */
public final class CallDispatcher implements PartitionCallHandler, CallEventSink {
    private final CallScheduler scheduler;
    private final Executor loop;
    private final Executor attemptExecutor;
    private final PartitionDirectory directory;
    private final LongSupplier clockNs;
    private final ModelSender modelSender;
    private final ServiceSender serviceSender;
    private final PartitionNotifier partitionNotifier;
    private final Consumer<SchedulingAction.ReleaseCache> releaseHandler;
    private final CallSpans spans;
    private final DaemonMetrics metrics;
    private final AtomicReference<Configuration> configuration =
            new AtomicReference<>(Configuration.EMPTY);
    private final Map<Long, Attempt> attemptsInFlight = new ConcurrentHashMap<>();

    /** Passes events to the partition that a call belongs to. */
    @FunctionalInterface
    public interface PartitionNotifier {

        /** Posts {@code event} to the partition of the call {@code callId}. */
        void post(long callId, ProgramEvent event);
    }

    /**
     * @param loop event loop of the scheduler; single-threaded
     * @param attemptExecutor runs attempts, which block
     * @param releaseHandler receives the cache releases that the scheduler requests
     */
    public CallDispatcher(
            CallScheduler scheduler,
            Executor loop,
            Executor attemptExecutor,
            PartitionDirectory directory,
            LongSupplier clockNs,
            HttpClient client,
            PartitionNotifier partitionNotifier,
            Consumer<SchedulingAction.ReleaseCache> releaseHandler,
            Tracing tracing,
            DaemonMetrics metrics) {
        this.scheduler = scheduler;
        this.loop = loop;
        this.attemptExecutor = attemptExecutor;
        this.directory = directory;
        this.clockNs = clockNs;
        this.partitionNotifier = partitionNotifier;
        this.releaseHandler = releaseHandler;
        this.spans = new CallSpans(tracing);
        this.metrics = metrics;
        this.modelSender = new ModelSender(client, this, clockNs);
        this.serviceSender = new ServiceSender(client, this, clockNs);
    }

    /** Applies a new configuration. */
    public void onConfigurationChanged(Configuration changed) {
        configuration.set(changed);
        notifyScheduler(new SchedulingEvent.ConfigurationChanged(changed));
    }

    /** Runs {@code query} with the scheduler on the scheduler's loop. */
    public void query(Consumer<CallScheduler> query) {
        loop.execute(() -> query.accept(scheduler));
    }

    @Override
    public void notifyScheduler(SchedulingEvent event) {
        if (event instanceof SchedulingEvent.Succeeded succeeded) {
            metrics.recordPrefill(
                    succeeded.cachedTokens(), succeeded.promptTokens() - succeeded.cachedTokens());
        }
        loop.execute(() -> scheduler.on(event, clockNs.getAsLong()).forEach(this::execute));
    }

    @Override
    public void notifyPartition(long callId, ProgramEvent event) {
        partitionNotifier.post(callId, event);
    }

    @Override
    public void submit(CallSubmission call, String traceParent) {
        spans.startQueueSpan(call.callId(), call.program(), traceParent);
        notifyScheduler(new SchedulingEvent.Submitted(call));
    }

    @Override
    public void withdraw(long callId) {
        spans.endQueueSpan(callId);
        notifyScheduler(new SchedulingEvent.Withdrawn(callId));
        abortAttempt(callId);
    }

    @Override
    public void adopt(ProgramKey program) {
        notifyScheduler(new SchedulingEvent.ProgramAdopted(program));
    }

    @Override
    public void release(ProgramAction.ReleaseProgram release) {
        notifyScheduler(new SchedulingEvent.ProgramEnded(release.program()));
    }

    @Override
    public void sendModel(PartitionRuntime sender, ProgramAction.SendModel send) {
        runAttempt(
                () -> directory.heldHere(sender.partition()),
                send.callId(),
                send.runner(),
                send.traceParent(),
                (location, trace, abort) ->
                        modelSender.send(send, location.runner().address(), trace, abort));
    }

    @Override
    public void sendService(PartitionRuntime sender, ProgramAction.SendService send) {
        runAttempt(
                () -> maySend(sender.partition(), send.repeatable()),
                send.callId(),
                send.runner(),
                send.traceParent(),
                (location, trace, abort) ->
                        serviceSender.send(
                                send,
                                location.runner().address(),
                                location.target().checksEpoch(),
                                trace,
                                abort));
    }

    @Override
    public void lookUp(PartitionRuntime sender, ProgramAction.LookUp lookUp) {
        Target target = configuration.get().targets().get(lookUp.target());
        List<Target.Runner> runners = target == null ? List.of() : target.runners();
        attemptExecutor.execute(() -> serviceSender.lookUp(lookUp, lookUp.program(), runners));
    }

    /**
     * Whether a service call may be sent now.
     *
     * <p>A repeatable call is sent even while the lease cannot be renewed, since no other node can
     * claim the partition during that time.
     */
    private boolean maySend(int partition, boolean repeatable) {
        return repeatable
                ? directory.heldHere(partition)
                : directory.ownedHere(partition, clockNs.getAsLong());
    }

    /** A runner and the target that it belongs to. */
    private record RunnerLocation(Target target, Target.Runner runner) {}

    /** Sends an attempt to a runner. */
    @FunctionalInterface
    private interface AttemptSender {
        void send(RunnerLocation location, String traceParent, AbortSignal abort);
    }

    private void runAttempt(
            BooleanSupplier maySend,
            long callId,
            String runnerName,
            String traceParent,
            AttemptSender attemptSender) {
        attemptExecutor.execute(
                () -> {
                    Optional<RunnerLocation> location = locate(runnerName);
                    AbortSignal abort = new AbortSignal();
                    // Last check of ownership before sending: after it, only the target itself can
                    // refuse a stale epoch.
                    if (location.isEmpty() || !maySend.getAsBoolean()) {
                        reportFailure(callId, CallFailure.NOT_SENT, 0);
                        return;
                    }
                    Attempt attempt = new Attempt(runnerName, abort);
                    attemptsInFlight.put(callId, attempt);
                    try {
                        spans.traceAttempt(
                                callId,
                                runnerName,
                                traceParent,
                                trace -> attemptSender.send(location.get(), trace, abort));
                    } finally {
                        attemptsInFlight.remove(callId, attempt);
                    }
                });
    }

    private void execute(SchedulingAction action) {
        switch (action) {
            case SchedulingAction.Dispatch d -> {
                spans.endQueueSpan(d.callId());
                if (d.attempt() > 1) {
                    metrics.recordRetry();
                }
                notifyPartition(
                        d.callId(),
                        new ProgramEvent.Dispatched(d.callId(), d.runner(), d.attempt()));
            }
            case SchedulingAction.Refuse r -> {
                spans.endQueueSpan(r.callId());
                metrics.recordRefusal(r.reason().name().toLowerCase(Locale.ROOT));
                notifyPartition(
                        r.callId(),
                        new ProgramEvent.CallRefused(r.callId(), r.reason(), r.retryAfterMs()));
            }
            case SchedulingAction.GiveUp g -> {
                spans.endQueueSpan(g.callId());
                notifyPartition(
                        g.callId(),
                        new ProgramEvent.CallAbandoned(
                                g.callId(), g.lastFailure(), g.retryAfterMs()));
            }
            case SchedulingAction.CancelAttempt c -> abortAttempt(c.callId());
            case SchedulingAction.ReleaseCache r -> releaseHandler.accept(r);
        }
    }

    private void abortAttempt(long callId) {
        Attempt attempt = attemptsInFlight.get(callId);
        if (attempt != null) {
            attempt.abort().abort();
        }
    }

    private Optional<RunnerLocation> locate(String runnerName) {
        for (Target target : configuration.get().targets().values()) {
            for (Target.Runner runner : target.runners()) {
                if (runner.name().equals(runnerName)) {
                    return Optional.of(new RunnerLocation(target, runner));
                }
            }
        }
        return Optional.empty();
    }
}
