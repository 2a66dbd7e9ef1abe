package org.skylarkmast.core.program;

import java.util.Optional;
import org.skylarkmast.core.config.Budget;
import org.skylarkmast.core.config.Model;
import org.skylarkmast.core.config.Priority;
import org.skylarkmast.core.config.ProgramTemplate;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.core.scheduling.CallSubmission;
import org.skylarkmast.core.scheduling.Destination;
import org.skylarkmast.core.scheduling.RefusalReason;

/**
 * Takes calls from their turn in the program's order to their recorded end.
 *
 * <p>A service call is sent only after its intent is committed (a repeatable one at least copied),
 * and its final event goes out only after its end is. Not thread-safe.
 */
final class CallProgress {

    private static final long STORE_DOWN_RETRY_MS = 2_000;
    private static final long RESEND_RETRY_MS = 1_000;
    private static final Priority DEFAULT_PRIORITY = new Priority("", 0, 30_000);

    private final PartitionContext context;
    private final BudgetGate gate;
    private final CallEnds ends;
    private final CallAnswers answers;

    CallProgress(PartitionContext context) {
        this.context = context;
        this.ends = new CallEnds(context, this::startNext);
        this.answers = new CallAnswers(context, ends);
        this.gate = new BudgetGate(context, this::submit, ends::refuse);
    }

    CallAnswers answers() {
        return answers;
    }

    CallEnds ends() {
        return ends;
    }

    /** Starts the agent's next waiting call if none is under way. */
    void startNext(AgentState agent) {
        if (agent.running != null || context.lost) {
            return;
        }
        Call call = agent.queue.poll();
        if (call != null) {
            agent.running = call;
            begin(call);
        }
    }

    private void begin(Call call) {
        Optional<ProgramTemplate> found = context.template(call.agent.tree.template);
        if (found.isEmpty()) {
            ends.refuse(call, Refusal.Kind.NOT_FOUND, "the program's template is gone", 0);
            return;
        }
        ProgramTemplate template = found.get();
        if (call.agent.tree.turns >= template.maxTurns()) {
            ends.refuse(
                    call,
                    Refusal.Kind.TURN_LIMIT,
                    "the program made " + template.maxTurns() + " calls",
                    0);
            return;
        }
        Budget budget = RequestChecks.budget(template, context.configuration);
        switch (call.request.operation()) {
            case Operation.ModelTurn turn -> beginModel(call, turn, budget);
            case Operation.ServiceCall ignored -> beginService(call, budget);
            case Operation.EndProgram ignored -> throw new IllegalStateException("not a call");
            case Operation.ReadProgram ignored -> throw new IllegalStateException("not a call");
        }
    }

    private void beginModel(Call call, Operation.ModelTurn turn, Budget budget) {
        Model model = context.configuration.models().get(turn.model());
        if (model == null) {
            ends.refuse(call, Refusal.Kind.NOT_FOUND, "no model " + turn.model(), 0);
            return;
        }
        long left = call.agent.tree.budget.leftTokens(budget.tokens());
        call.promptBoundTokens = RequestChecks.promptBoundTokens(call.agent, turn);
        if (left <= call.promptBoundTokens) {
            ends.refuse(
                    call,
                    Refusal.Kind.BUDGET_SPENT,
                    left + " tokens are left, the prompt may need " + call.promptBoundTokens,
                    0);
            return;
        }
        int wanted = RequestChecks.maxTokens(turn, model);
        call.maxTokens = (int) Math.min(wanted, left - call.promptBoundTokens);
        gate.enter(call);
    }

    private void beginService(Call call, Budget budget) {
        if (call.agent.tree.serviceCalls >= budget.serviceCalls()) {
            ends.refuse(
                    call,
                    Refusal.Kind.BUDGET_SPENT,
                    "the program made " + budget.serviceCalls() + " service calls",
                    0);
        } else if (context.degraded && !repeatable(call)) {
            refuseUnrecorded(call);
        } else {
            call.agent.tree.serviceCalls++;
            submit(call);
        }
    }

    private void submit(Call call) {
        call.phase = Call.Phase.SUBMITTED;
        Priority priority =
                context.template(call.agent.tree.template)
                        .map(
                                template ->
                                        context.configuration.priorities().get(template.priority()))
                        .orElse(DEFAULT_PRIORITY);
        int promptTokens =
                call.request.operation() instanceof Operation.ModelTurn turn
                        ? RequestChecks.estimatePromptTokens(call.agent, turn)
                        : 0;
        context.act(
                new ProgramAction.Submit(
                        new CallSubmission(
                                call.id,
                                call.agent.key,
                                destination(call),
                                repeatable(call),
                                promptTokens,
                                call.maxTokens,
                                priority.level(),
                                priority.maxWaitMs(),
                                call.deadlineNs),
                        call.request.traceParent()));
    }

    /** The scheduler chose a runner. */
    void dispatched(ProgramEvent.Dispatched event) {
        Call call = context.calls.get(event.callId());
        if (call == null || context.lost) {
            return;
        }
        call.runner = event.runner();
        if (!call.isService() || call.intentCommitted) {
            send(call);
            return;
        }
        call.phase = Call.Phase.AWAITING_INTENT;
        if (!call.intentAppended) {
            call.intentAppended = true;
            context.append(ProgramTree.intentOf(call), outcome -> intended(call, outcome));
        }
    }

    private void intended(Call call, AppendOutcome outcome) {
        boolean live = context.calls.get(call.id) == call;
        switch (outcome) {
            case AppendOutcome.Committed ignored -> {
                call.intentCommitted = true;
                if (live && call.phase == Call.Phase.AWAITING_INTENT) {
                    send(call);
                }
            }
            case AppendOutcome.Copied ignored -> {
                if (live && call.phase == Call.Phase.AWAITING_INTENT) {
                    if (repeatable(call)) {
                        send(call);
                    } else {
                        context.act(new ProgramAction.Withdraw(call.id));
                        refuseUnrecorded(call);
                    }
                }
            }
            case AppendOutcome.Fenced ignored -> {
                // OwnershipLost follows and ends the call.
            }
        }
    }

    private void send(Call call) {
        call.phase = Call.Phase.SENT;
        context.act(
                switch (call.request.operation()) {
                    case Operation.ModelTurn turn -> {
                        var messages = call.agent.history();
                        messages.addAll(turn.messages());
                        yield new ProgramAction.SendModel(
                                call.id,
                                call.runner,
                                call.agent.key,
                                call.key(),
                                context.epoch,
                                turn.model(),
                                messages,
                                call.maxTokens,
                                call.deadlineNs,
                                call.request.traceParent());
                    }
                    case Operation.ServiceCall service ->
                            new ProgramAction.SendService(
                                    call.id,
                                    call.runner,
                                    call.agent.key,
                                    call.key(),
                                    context.epoch,
                                    service,
                                    repeatable(call),
                                    call.deadlineNs,
                                    call.request.traceParent());
                    case Operation.EndProgram ignored ->
                            throw new IllegalStateException("not a call");
                    case Operation.ReadProgram ignored ->
                            throw new IllegalStateException("not a call");
                });
    }

    /** An attempt failed; what it may have used is counted as used. */
    void attemptFailed(ProgramEvent.AttemptFailed event) {
        Call call = context.calls.get(event.callId());
        if (call == null) {
            return;
        }
        call.phase = Call.Phase.SUBMITTED;
        if (!event.failure().mayHaveRun()) {
            return;
        }
        call.mayHaveRun = true;
        if (call.reservedTokens > 0) {
            BudgetAccount budget = call.agent.tree.budget;
            budget.settle(call.reservedTokens, call.reservedTokens);
            if (budget.covers(call.reservedTokens)) {
                budget.reserve(call.reservedTokens);
            } else {
                call.reservedTokens = 0;
                context.act(new ProgramAction.Withdraw(call.id));
                ends.refuse(
                        call,
                        new Refusal(
                                Refusal.Kind.TARGET_FAILED,
                                "the runner failed and the budget grant covers no second attempt",
                                Execution.UNKNOWN,
                                RESEND_RETRY_MS));
            }
        }
    }

    /** The scheduler refused a call that never was sent. */
    void refused(ProgramEvent.CallRefused event) {
        Call call = context.calls.get(event.callId());
        if (call != null) {
            ends.refuse(call, kindOf(event.reason()), "not admitted", event.retryAfterMs());
        }
    }

    /** The scheduler gave up. */
    void givenUp(ProgramEvent.CallGivenUp event) {
        Call call = context.calls.get(event.callId());
        if (call == null) {
            return;
        }
        call.mayHaveRun |= call.phase == Call.Phase.SENT || event.lastFailure().mayHaveRun();
        Refusal.Kind kind =
                event.lastFailure() == CallFailure.TIMED_OUT
                        ? Refusal.Kind.TIMED_OUT
                        : Refusal.Kind.TARGET_FAILED;
        if (!call.mayHaveRun) {
            ends.refuse(call, kind, "no runner took the call", event.retryAfterMs());
        } else if (call.isService() && answers.supportsLookup(call)) {
            answers.lookUp(call);
        } else {
            ends.refuse(
                    call,
                    new Refusal(
                            kind,
                            "the runner failed: " + event.lastFailure(),
                            Execution.UNKNOWN,
                            call.isService() ? 0 : event.retryAfterMs()));
        }
    }

    private boolean repeatable(Call call) {
        return switch (call.request.operation()) {
            case Operation.ModelTurn ignored -> true;
            case Operation.ServiceCall service ->
                    RequestChecks.repeatable(service, context.configuration);
            case Operation.EndProgram ignored -> false;
            case Operation.ReadProgram ignored -> true;
        };
    }

    private static Destination destination(Call call) {
        return call.request.operation() instanceof Operation.ServiceCall service
                ? new Destination.ServiceDestination(service.target())
                : new Destination.ModelDestination(
                        ((Operation.ModelTurn) call.request.operation()).model());
    }

    private void refuseUnrecorded(Call call) {
        ends.refuse(
                call,
                Refusal.Kind.STORE_DOWN,
                "a call that may not be repeated cannot be recorded now",
                STORE_DOWN_RETRY_MS);
    }

    private static Refusal.Kind kindOf(RefusalReason reason) {
        return switch (reason) {
            case OVERLOADED, WORKSPACE_LIMIT, WAITED_TOO_LONG -> Refusal.Kind.OVERLOADED;
            case NO_RUNNER -> Refusal.Kind.NO_RUNNER;
            case DEADLINE -> Refusal.Kind.TIMED_OUT;
        };
    }
}
