package org.skylarkmast.daemon.entry;

import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.skylarkmast.core.ownership.OwnerLocation;
import org.skylarkmast.core.ownership.PartitionDirectory;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.CallerRequest;
import org.skylarkmast.core.program.Execution;
import org.skylarkmast.core.program.Refusal;

/**
 * Forwards a request to the owner of its program and returns the events, across changes of owner.
 *
 * <p>A request whose owner was lost is forwarded to the next owner under the same key. That owner
 * joins the request if it is running, answers it from the journal, executes it again if that is
 * safe, or reports that its outcome is unknown. Thread-safe; calls block.
 */
public final class RequestRouter {

    /** Time without a reachable owner after which a request is refused. */
    private static final long OWNER_TIMEOUT_MS = 15_000;

    private static final long MIN_BACKOFF_MS = 20;
    private static final long MAX_BACKOFF_MS = 500;
    private static final long RETRY_AFTER_MS = 2_000;

    private final PartitionDirectory directory;
    private final Predicate<OwnerLocation> reachable;
    private final OwnerClient ownerClient;
    private final LongSupplier clockNs;
    private final DoubleSupplier random;
    private final Sleeper sleeper;

    /**
     * @param reachable whether an owner answers as far as is known; others receive no requests
     * @param random values in [0, 1); jitter for the back-off
     * @param sleeper sleeps between two lookups of the owner
     */
    public RequestRouter(
            PartitionDirectory directory,
            Predicate<OwnerLocation> reachable,
            OwnerClient ownerClient,
            LongSupplier clockNs,
            DoubleSupplier random,
            Sleeper sleeper) {
        this.directory = directory;
        this.reachable = reachable;
        this.ownerClient = ownerClient;
        this.clockNs = clockNs;
        this.random = random;
        this.sleeper = sleeper;
    }

    /** Blocks the current thread for a given time. */
    @FunctionalInterface
    public interface Sleeper {

        /**
         * Sleeps for {@code backoffMs} milliseconds.
         *
         * @throws InterruptedException if the thread was interrupted; the request is then refused
         */
        void sleep(long backoffMs) throws InterruptedException;
    }

    /** Receives the events for a caller. */
    @FunctionalInterface
    public interface EventSink {

        /**
         * Delivers an event.
         *
         * @return whether the caller still listens
         */
        boolean accept(CallerEvent event);
    }

    /** Result of forwarding a request to one owner. */
    private enum ForwardResult {
        /** The final event was delivered to the caller. */
        COMPLETED,
        /** The caller no longer listens. */
        CALLER_GONE,
        /** The request did not reach the owner, or the owner did not execute it. */
        NOT_RUN,
        /** The owner was lost after it may have begun to execute the request. */
        OWNER_LOST
    }

    /**
     * An event from the owner, or, if {@code event} is null, the reason why no more will follow.
     */
    private record OwnerMessage(CallerEvent event, String failureReason) {}

    /**
     * Serves {@code request}; returns once its final event was delivered or the caller has left.
     */
    public void serve(CallerRequest request, EventSink sink) {
        int partition = request.program().partition();
        AnswerMerger merger = new AnswerMerger(sink);
        boolean mayHaveRun = false;
        long backoffMs = MIN_BACKOFF_MS;
        long deadlineNs = clockNs.getAsLong() + TimeUnit.MILLISECONDS.toNanos(OWNER_TIMEOUT_MS);
        while (clockNs.getAsLong() < deadlineNs) {
            Optional<OwnerLocation> owner = directory.ownerOf(partition);
            if (owner.isPresent() && reachable.test(owner.get())) {
                long forwardStartNs = clockNs.getAsLong();
                ForwardResult result = forward(owner.get(), request, mayHaveRun, merger);
                if (result == ForwardResult.COMPLETED || result == ForwardResult.CALLER_GONE) {
                    return;
                }
                mayHaveRun |= result == ForwardResult.OWNER_LOST;
                if (result == ForwardResult.OWNER_LOST) {
                    deadlineNs += clockNs.getAsLong() - forwardStartNs;
                }
                directory.refresh(partition);
            }
            if (!backOff(backoffMs)) {
                break;
            }
            backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        }
        merger.accept(
                new CallerEvent.Refused(
                        new Refusal(
                                Refusal.Kind.OWNER_MOVED,
                                "the program has no reachable owner",
                                mayHaveRun ? Execution.UNKNOWN : Execution.NOT_RUN,
                                RETRY_AFTER_MS)));
    }

    private ForwardResult forward(
            OwnerLocation owner, CallerRequest request, boolean mayHaveRun, AnswerMerger merger) {
        BlockingQueue<OwnerMessage> messages = new LinkedBlockingQueue<>();
        Runnable stopWaiting =
                ownerClient.call(
                        owner,
                        request,
                        event -> messages.add(new OwnerMessage(event, null)),
                        reason -> messages.add(new OwnerMessage(null, reason)));
        try {
            while (true) {
                OwnerMessage message = messages.take();
                if (message.event() == null) {
                    return message.failureReason().isEmpty()
                            ? ForwardResult.NOT_RUN
                            : ForwardResult.OWNER_LOST;
                }
                if (resultOfMove(message.event()).isPresent()) {
                    return resultOfMove(message.event()).get();
                }
                if (!merger.accept(withUncertainExecution(message.event(), mayHaveRun))) {
                    stopWaiting.run();
                    return ForwardResult.CALLER_GONE;
                }
                if (message.event().isFinal()) {
                    return ForwardResult.COMPLETED;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            stopWaiting.run();
            return ForwardResult.CALLER_GONE;
        }
    }

    /**
     * Replaces {@link Execution#NOT_RUN} by {@link Execution#UNKNOWN} if an earlier owner may have
     * executed the request, since a later owner cannot know that.
     */
    private static CallerEvent withUncertainExecution(CallerEvent event, boolean mayHaveRun) {
        if (mayHaveRun
                && event instanceof CallerEvent.Refused(Refusal refusal)
                && refusal.execution() == Execution.NOT_RUN) {
            return new CallerEvent.Refused(
                    new Refusal(
                            refusal.kind(),
                            refusal.detail(),
                            Execution.UNKNOWN,
                            refusal.retryAfterMs()));
        }
        return event;
    }

    private static Optional<ForwardResult> resultOfMove(CallerEvent event) {
        if (event instanceof CallerEvent.Refused(Refusal refusal)
                && refusal.kind() == Refusal.Kind.OWNER_MOVED) {
            return Optional.of(
                    refusal.execution() == Execution.NOT_RUN
                            ? ForwardResult.NOT_RUN
                            : ForwardResult.OWNER_LOST);
        }
        return Optional.empty();
    }

    private boolean backOff(long backoffMs) {
        try {
            sleeper.sleep((long) (backoffMs * (0.5 + random.getAsDouble() / 2)));
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
