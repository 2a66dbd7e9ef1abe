package org.skylarkmast.core.program;

import java.util.function.Consumer;
import org.skylarkmast.core.journal.AppendOutcome;

/** Ends calls: gives back what they hold, tells their callers, starts what waited behind them. */
final class CallEnds {
    private final PartitionContext context;
    private final Consumer<AgentState> startNext;

    CallEnds(PartitionContext context, Consumer<AgentState> startNext) {
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
     * <p>A refusal that says "not run" for a call that may have run is a broken invariant.
     */
    void refuse(Call call, Refusal refusal) {
        boolean notRun = refusal.execution() == Execution.NOT_RUN;
        if (notRun && call.mayHaveRun) {
            throw new IllegalStateException("call may have run: " + call.key());
        }
        ProgramTree tree = call.agent.tree;
        tree.budget.settle(call.reservedTokens, notRun ? 0 : call.reservedTokens);
        call.reservedTokens = 0;
        tree.awaitingGrant.remove(call);
        if (call.isService()) {
            endIntent(call, notRun);
        }
        CallerEvent event = new CallerEvent.Refused(context.honest(call.request, refusal));
        call.waiters.forEach(waiter -> context.emit(waiter, event));
        remove(call);
    }

    /** A call's end got further in the journal. */
    void recorded(Call call, AppendOutcome outcome, Runnable complete) {
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

    private void endIntent(Call call, boolean notRun) {
        if (!call.intentAppended) {
            if (call.phase != Call.Phase.QUEUED && call.phase != Call.Phase.LOOKING_UP) {
                call.agent.tree.serviceCalls--;
            }
        } else if (notRun) {
            call.agent.tree.serviceCalls--;
            context.append(
                    new JournalRecord.IntentWithdrawn(call.agent.key, call.key()), ignored -> {});
        } else {
            call.agent.openIntents.put(call.key(), ProgramTree.intentOf(call));
        }
    }

    private void remove(Call call) {
        AgentState agent = call.agent;
        context.calls.remove(call.id);
        call.waiters.forEach(context.callByWaiter::remove);
        agent.calls.remove(call.key());
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
