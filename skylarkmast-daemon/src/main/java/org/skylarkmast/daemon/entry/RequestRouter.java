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
 * Brings a request to the owner of its program and its events back, across changes of owner.
 *
 * <p>A request whose owner is gone is passed to the next owner under the same key, which joins it,
 * answers it from the journal, runs it again if that does no harm, or says that its outcome is
 * unknown. Thread-safe; calls block.
 */
public final class RequestRouter {

    /** Time without a reachable owner after which a request is given up on. */
    private static final long OWNER_PATIENCE_MS = 15_000;

    private static final long FIRST_PAUSE_MS = 20;
    private static final long LAST_PAUSE_MS = 500;
    private static final long RETRY_AFTER_MS = 2_000;

    private final PartitionDirectory directory;
    private final Predicate<OwnerLocation> reachable;
    private final OwnerLink link;
    private final LongSupplier clockNs;
    private final DoubleSupplier random;
    private final Pause pause;

    /**
     * @param reachable whether an owner is worth a try; nothing is passed to one that is silent
     * @param random values in [0, 1), spreads the looks for a new owner
     * @param pause waits between two looks for an owner
     */
    public RequestRouter(
            PartitionDirectory directory,
            Predicate<OwnerLocation> reachable,
            OwnerLink link,
            LongSupplier clockNs,
            DoubleSupplier random,
            Pause pause) {
        this.directory = directory;
        this.reachable = reachable;
        this.link = link;
        this.clockNs = clockNs;
        this.random = random;
        this.pause = pause;
    }

    /** Waits. */
    @FunctionalInterface
    public interface Pause {

        /**
         * Waits for {@code pauseMs} milliseconds.
         *
         * @throws InterruptedException if the wait is to end for good
         */
        void pause(long pauseMs) throws InterruptedException;
    }

    /** Takes events on their way to a caller. */
    @FunctionalInterface
    public interface EventSink {

        /**
         * Takes an event.
         *
         * @return whether the caller still listens
         */
        boolean accept(CallerEvent event);
    }

    /** What came of one pass to one owner. */
    private enum Pass {
        /** The final event went to the caller. */
        ENDED,
        /** The caller is gone. */
        LEFT,
        /** The request did not reach the owner, or the owner did not run it. */
        NOT_RUN,
        /** The owner broke off midway. */
        BROKEN
    }

    /** Sent through the queue in place of an event when the owner is gone. */
    private record Step(CallerEvent event, String gone) {}

    /** Serves {@code request}; returns once its final event was taken or the caller left. */
    public void serve(CallerRequest request, EventSink sink) {
        int partition = request.program().partition();
        AnswerMerger merger = new AnswerMerger(sink);
        boolean mayHaveRun = false;
        long pauseMs = FIRST_PAUSE_MS;
        long giveUpNs = clockNs.getAsLong() + TimeUnit.MILLISECONDS.toNanos(OWNER_PATIENCE_MS);
        while (clockNs.getAsLong() < giveUpNs) {
            Optional<OwnerLocation> owner = directory.ownerOf(partition);
            if (owner.isPresent() && reachable.test(owner.get())) {
                long passedNs = clockNs.getAsLong();
                Pass pass = pass(owner.get(), request, mayHaveRun, merger);
                if (pass == Pass.ENDED || pass == Pass.LEFT) {
                    return;
                }
                mayHaveRun |= pass == Pass.BROKEN;
                if (pass == Pass.BROKEN) {
                    giveUpNs += clockNs.getAsLong() - passedNs;
                }
                directory.refresh(partition);
            }
            if (!waited(pauseMs)) {
                break;
            }
            pauseMs = Math.min(LAST_PAUSE_MS, pauseMs * 2);
        }
        merger.accept(
                new CallerEvent.Refused(
                        new Refusal(
                                Refusal.Kind.OWNER_MOVED,
                                "the program has no reachable owner",
                                mayHaveRun ? Execution.UNKNOWN : Execution.NOT_RUN,
                                RETRY_AFTER_MS)));
    }

    private Pass pass(
            OwnerLocation owner, CallerRequest request, boolean mayHaveRun, AnswerMerger merger) {
        BlockingQueue<Step> steps = new LinkedBlockingQueue<>();
        Runnable leave =
                link.call(
                        owner,
                        request,
                        event -> steps.add(new Step(event, null)),
                        reason -> steps.add(new Step(null, reason)));
        try {
            while (true) {
                Step step = steps.take();
                if (step.event() == null) {
                    return step.gone().isEmpty() ? Pass.NOT_RUN : Pass.BROKEN;
                }
                if (moved(step.event()).isPresent()) {
                    return moved(step.event()).get();
                }
                if (!merger.accept(honest(step.event(), mayHaveRun))) {
                    leave.run();
                    return Pass.LEFT;
                }
                if (step.event().isFinal()) {
                    return Pass.ENDED;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            leave.run();
            return Pass.LEFT;
        }
    }

    /** A later owner cannot vouch for what an owner that broke off has sent. */
    private static CallerEvent honest(CallerEvent event, boolean mayHaveRun) {
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

    private static Optional<Pass> moved(CallerEvent event) {
        if (event instanceof CallerEvent.Refused(Refusal refusal)
                && refusal.kind() == Refusal.Kind.OWNER_MOVED) {
            return Optional.of(
                    refusal.execution() == Execution.NOT_RUN ? Pass.NOT_RUN : Pass.BROKEN);
        }
        return Optional.empty();
    }

    private boolean waited(long pauseMs) {
        try {
            pause.pause((long) (pauseMs * (0.5 + random.getAsDouble() / 2)));
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
