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
import org.skylarkmast.daemon.partition.PartitionCalls;
import org.skylarkmast.daemon.partition.PartitionRuntime;
import org.skylarkmast.daemon.telemetry.DaemonMetrics;
import org.skylarkmast.daemon.telemetry.Tracing;
import org.skylarkmast.http.AbortSignal;
import org.skylarkmast.http.HttpClient;

/**
 * Runs the scheduler on its event loop and sends what it dispatches.
 *
 * <p>Thread-safe; the scheduler is touched on its loop only, each attempt runs on a thread of its
 * own.
 */
public final class CallDispatch implements PartitionCalls, CallResults {
    private final CallScheduler scheduler;
    private final Executor loop;
    private final Executor attempts;
    private final PartitionDirectory directory;
    private final LongSupplier clockNs;
    private final ModelSender models;
    private final ServiceSender services;
    private final PartitionPost partitions;
    private final Consumer<SchedulingAction.ReleaseCache> releases;
    private final CallSpans spans;
    private final DaemonMetrics metrics;
    private final AtomicReference<Configuration> configuration =
            new AtomicReference<>(Configuration.EMPTY);
    private final Map<Long, Attempt> underWay = new ConcurrentHashMap<>();

    /** Hands an event to the partition a call belongs to. */
    @FunctionalInterface
    public interface PartitionPost {

        /** Posts {@code event} about {@code callId}. */
        void post(long callId, ProgramEvent event);
    }

    /**
     * @param loop single-threaded
     * @param attempts runs blocking attempts
     * @param releases takes cache releases
     */
    public CallDispatch(
            CallScheduler scheduler,
            Executor loop,
            Executor attempts,
            PartitionDirectory directory,
            LongSupplier clockNs,
            HttpClient client,
            PartitionPost partitions,
            Consumer<SchedulingAction.ReleaseCache> releases,
            Tracing tracing,
            DaemonMetrics metrics) {
        this.scheduler = scheduler;
        this.loop = loop;
        this.attempts = attempts;
        this.directory = directory;
        this.clockNs = clockNs;
        this.partitions = partitions;
        this.releases = releases;
        this.spans = new CallSpans(tracing);
        this.metrics = metrics;
        this.models = new ModelSender(client, this, clockNs);
        this.services = new ServiceSender(client, this, clockNs);
    }

    /** A new configuration is in force. */
    public void configurationChanged(Configuration changed) {
        configuration.set(changed);
        toScheduler(new SchedulingEvent.ConfigurationChanged(changed));
    }

    /** Runs {@code question} on the scheduler's loop. */
    public void ask(Consumer<CallScheduler> question) {
        loop.execute(() -> question.accept(scheduler));
    }

    @Override
    public void toScheduler(SchedulingEvent event) {
        if (event instanceof SchedulingEvent.Succeeded done) {
            metrics.recordPrefill(done.cachedTokens(), done.promptTokens() - done.cachedTokens());
        }
        loop.execute(() -> scheduler.on(event, clockNs.getAsLong()).forEach(this::carryOut));
    }

    @Override
    public void toPartition(long callId, ProgramEvent event) {
        partitions.post(callId, event);
    }

    @Override
    public void submit(CallSubmission call, String traceParent) {
        spans.queued(call.callId(), call.program(), traceParent);
        toScheduler(new SchedulingEvent.Submitted(call));
    }

    @Override
    public void withdraw(long callId) {
        spans.left(callId);
        toScheduler(new SchedulingEvent.Withdrawn(callId));
        cut(callId);
    }

    @Override
    public void adopt(ProgramKey program) {
        toScheduler(new SchedulingEvent.ProgramAdopted(program));
    }

    @Override
    public void release(ProgramAction.ReleaseProgram release) {
        toScheduler(new SchedulingEvent.ProgramEnded(release.program()));
    }

    @Override
    public void sendModel(PartitionRuntime sender, ProgramAction.SendModel send) {
        run(
                () -> directory.heldHere(sender.partition()),
                send.callId(),
                send.runner(),
                send.traceParent(),
                (runner, trace, abort) ->
                        models.send(send, runner.runner().address(), trace, abort));
    }

    @Override
    public void sendService(PartitionRuntime sender, ProgramAction.SendService send) {
        run(
                () -> maySend(sender.partition(), send.repeatable()),
                send.callId(),
                send.runner(),
                send.traceParent(),
                (runner, trace, abort) ->
                        services.send(
                                send,
                                runner.runner().address(),
                                runner.target().checksEpoch(),
                                trace,
                                abort));
    }

    @Override
    public void lookUp(PartitionRuntime sender, ProgramAction.LookUp lookUp) {
        Target target = configuration.get().targets().get(lookUp.target());
        List<Target.Runner> runners = target == null ? List.of() : target.runners();
        attempts.execute(() -> services.lookUp(lookUp, lookUp.program(), runners));
    }

    /** What may be repeated goes on while the lease cannot be renewed, as nobody can claim then. */
    private boolean maySend(int partition, boolean repeatable) {
        return repeatable
                ? directory.heldHere(partition)
                : directory.ownedHere(partition, clockNs.getAsLong());
    }

    /** A runner with its target. */
    private record Located(Target target, Target.Runner runner) {}

    /** Sends one attempt. */
    @FunctionalInterface
    private interface Send {
        void to(Located runner, String traceParent, AbortSignal abort);
    }

    private void run(
            BooleanSupplier maySend,
            long callId,
            String runnerName,
            String traceParent,
            Send send) {
        attempts.execute(
                () -> {
                    Optional<Located> runner = locate(runnerName);
                    AbortSignal abort = new AbortSignal();
                    // The last look before sending: past it only the target's own check is left.
                    if (runner.isEmpty() || !maySend.getAsBoolean()) {
                        failed(callId, CallFailure.NOT_SENT, 0);
                        return;
                    }
                    Attempt attempt = new Attempt(runnerName, abort);
                    underWay.put(callId, attempt);
                    try {
                        spans.sending(
                                callId,
                                runnerName,
                                traceParent,
                                trace -> send.to(runner.get(), trace, abort));
                    } finally {
                        underWay.remove(callId, attempt);
                    }
                });
    }

    private void carryOut(SchedulingAction action) {
        switch (action) {
            case SchedulingAction.Dispatch d -> {
                spans.left(d.callId());
                if (d.attempt() > 1) {
                    metrics.recordRetry();
                }
                toPartition(
                        d.callId(),
                        new ProgramEvent.Dispatched(d.callId(), d.runner(), d.attempt()));
            }
            case SchedulingAction.Refuse r -> {
                spans.left(r.callId());
                metrics.recordRefusal(r.reason().name().toLowerCase(Locale.ROOT));
                toPartition(
                        r.callId(),
                        new ProgramEvent.CallRefused(r.callId(), r.reason(), r.retryAfterMs()));
            }
            case SchedulingAction.GiveUp g -> {
                spans.left(g.callId());
                toPartition(
                        g.callId(),
                        new ProgramEvent.CallAbandoned(
                                g.callId(), g.lastFailure(), g.retryAfterMs()));
            }
            case SchedulingAction.CancelAttempt c -> cut(c.callId());
            case SchedulingAction.ReleaseCache r -> releases.accept(r);
        }
    }

    private void cut(long callId) {
        Attempt attempt = underWay.get(callId);
        if (attempt != null) {
            attempt.abort().abort();
        }
    }

    private Optional<Located> locate(String runnerName) {
        for (Target target : configuration.get().targets().values()) {
            for (Target.Runner runner : target.runners()) {
                if (runner.name().equals(runnerName)) {
                    return Optional.of(new Located(target, runner));
                }
            }
        }
        return Optional.empty();
    }
}
