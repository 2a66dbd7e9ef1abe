package org.skylarkmast.core.program;

import java.util.function.Consumer;
import org.skylarkmast.core.journal.AppendOutcome;

/**
 * Ends calls: settles their reservations, sends the final event to their callers and starts the
 * next queued call.
 */
final class CallCompletion {
    private final PartitionContext context;
    private final Consumer<AgentState> startNext;

    CallCompletion(PartitionContext context, Consumer<AgentState> startNext) {
        this.context = context;
        this.startNext = startNext;
    }

    /** Ends a call that did not run. */
    void refuse(Call call, Refusal.Kind kind, String detail, long retryAfterMs) {
        refuse(call, new Refusal(kind, detail, Execution.NOT_RUN, retryAfterMs));
    }

    /**
     * Ends a call without its answer.
     *
     * @throws IllegalStateException if the refusal is {@link Execution#NOT_RUN} although an attempt
     *     may have run
     */
    void refuse(Call call, Refusal refusal) {
        boolean notRun = refusal.execution() == Execution.NOT_RUN;
        if (notRun && call.mayHaveRun) {
            throw new IllegalStateException(
                    "call refused as NOT_RUN although an attempt may have run: "
                            + call.idempotencyKey());
        }
        ProgramTree tree = call.agent.tree;
        tree.budget.settle(call.reservedTokens, notRun ? 0 : call.reservedTokens);
        call.reservedTokens = 0;
        tree.awaitingGrant.remove(call);
        if (call.isService()) {
            resolveIntent(call, notRun);
        }
        CallerEvent event =
                new CallerEvent.Refused(context.withProvableExecution(call.request, refusal));
        call.waiters.forEach(waiter -> context.emit(waiter, event));
        remove(call);
    }

    /** Completes a call once its end is committed or copied. */
    void onEndOutcome(Call call, AppendOutcome outcome, Runnable complete) {
        if (context.calls.get(call.id) != call) {
            return;
        }
        switch (outcome) {
            case AppendOutcome.Committed ignored -> {
                complete.run();
                finish(call, call.answer);
            }
            case AppendOutcome.Copied ignored -> {
                complete.run();
                finish(call, asCopied(call.answer));
            }
            case AppendOutcome.Fenced ignored -> {
                // OwnershipLost follows and ends the call.
            }
        }
    }

    private void finish(Call call, CallerEvent answer) {
        call.waiters.forEach(waiter -> context.emit(waiter, answer));
        remove(call);
    }

    private void resolveIntent(Call call, boolean notRun) {
        if (!call.intentAppended) {
            if (call.phase != Call.Phase.QUEUED && call.phase != Call.Phase.LOOKING_UP) {
                call.agent.tree.serviceCalls--;
            }
        } else if (notRun) {
            call.agent.tree.serviceCalls--;
            context.append(
                    new JournalRecord.IntentWithdrawn(call.agent.key, call.idempotencyKey()),
                    ignored -> {});
        } else {
            call.agent.openIntents.put(call.idempotencyKey(), ProgramTree.intentOf(call));
        }
    }

    private void remove(Call call) {
        AgentState agent = call.agent;
        context.calls.remove(call.id);
        call.waiters.forEach(context.callByWaiter::remove);
        agent.calls.remove(call.idempotencyKey());
        agent.queue.remove(call);
        agent.tree.lastActiveNs = context.nowNs;
        if (agent.running == call) {
            agent.running = null;
            startNext.accept(agent);
        }
    }

    private static CallerEvent asCopied(CallerEvent answer) {
        return switch (answer) {
            case CallerEvent.ModelAnswered model ->
                    new CallerEvent.ModelAnswered(model.text(), model.summary().asCopied());
            case CallerEvent.ServiceAnswered service ->
                    new CallerEvent.ServiceAnswered(
                            service.status(),
                            service.contentType(),
                            service.body(),
                            service.summary().asCopied());
            case CallerEvent.Token ignored -> answer;
            case CallerEvent.Ended ignored -> answer;
            case CallerEvent.ProgramRead ignored -> answer;
            case CallerEvent.Refused ignored -> answer;
        };
    }
}
