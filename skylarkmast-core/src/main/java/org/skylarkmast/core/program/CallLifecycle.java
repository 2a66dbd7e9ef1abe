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
 * Runs each call from the moment it is the first of its program's queue until its end is recorded.
 *
 * <p>A service call is sent only after its intent is committed; for a repeatable one, a copy in
 * another failure domain is enough. The final event of a call is emitted only after its end is
 * committed or copied. Not thread-safe.
 */
final class CallLifecycle {

    private static final long STORE_DOWN_RETRY_MS = 2_000;
    private static final long RESEND_RETRY_MS = 1_000;
    private static final Priority DEFAULT_PRIORITY = new Priority("", 0, 30_000);

    private final PartitionContext context;
    private final BudgetReserver reserver;
    private final CallCompletion completion;
    private final CallAnswerHandler answerHandler;

    CallLifecycle(PartitionContext context) {
        this.context = context;
        this.completion = new CallCompletion(context, this::startNext);
        this.answerHandler = new CallAnswerHandler(context, completion);
        this.reserver = new BudgetReserver(context, this::submit, completion::refuse);
    }

    CallAnswerHandler answerHandler() {
        return answerHandler;
    }

    CallCompletion completion() {
        return completion;
    }

    /** Starts the agent's next queued call if no other is running. */
    void startNext(AgentState agent) {
        if (agent.running != null || context.ownershipLost) {
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
            completion.refuse(call, Refusal.Kind.NOT_FOUND, "the program's template is gone", 0);
            return;
        }
        ProgramTemplate template = found.get();
        if (call.agent.tree.turns >= template.maxTurns()) {
            completion.refuse(
                    call,
                    Refusal.Kind.TURN_LIMIT,
                    "the program made " + template.maxTurns() + " calls",
                    0);
            return;
        }
        Budget budget = RequestChecks.budgetOf(template, context.configuration);
        switch (call.request.operation()) {
            case Operation.ModelTurn turn -> beginModel(call, turn, budget);
            case Operation.ServiceCall ignored -> beginService(call, budget);
            case Operation.EndProgram ignored ->
                    throw new IllegalStateException("EndProgram is not a call");
            case Operation.ReadProgram ignored ->
                    throw new IllegalStateException("ReadProgram is not a call");
        }
    }

    private void beginModel(Call call, Operation.ModelTurn turn, Budget budget) {
        Model model = context.configuration.models().get(turn.model());
        if (model == null) {
            completion.refuse(call, Refusal.Kind.NOT_FOUND, "no model " + turn.model(), 0);
            return;
        }
        long remaining = call.agent.tree.budget.remainingTokens(budget.tokens());
        call.maxPromptTokens = RequestChecks.maxPromptTokens(call.agent, turn);
        if (remaining <= call.maxPromptTokens) {
            completion.refuse(
                    call,
                    Refusal.Kind.BUDGET_SPENT,
                    remaining + " tokens are left, the prompt may need " + call.maxPromptTokens,
                    0);
            return;
        }
        int requestedTokens = RequestChecks.maxOutputTokens(turn, model);
        call.maxOutputTokens = (int) Math.min(requestedTokens, remaining - call.maxPromptTokens);
        reserver.reserveOrWait(call);
    }

    private void beginService(Call call, Budget budget) {
        if (call.agent.tree.serviceCalls >= budget.serviceCalls()) {
            completion.refuse(
                    call,
                    Refusal.Kind.BUDGET_SPENT,
                    "the program made " + budget.serviceCalls() + " service calls",
                    0);
        } else if (context.journalDegraded && !isRepeatable(call)) {
            refuseUnrecordable(call);
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
        context.addAction(
                new ProgramAction.Submit(
                        new CallSubmission(
                                call.id,
                                call.agent.key,
                                destination(call),
                                isRepeatable(call),
                                promptTokens,
                                call.maxOutputTokens,
                                priority.level(),
                                priority.maxWaitMs(),
                                call.deadlineNs),
                        call.request.traceParent()));
    }

    /** Sends a call to the chosen runner; a service call only once its intent is recorded. */
    void onDispatched(ProgramEvent.Dispatched event) {
        Call call = context.calls.get(event.callId());
        if (call == null || context.ownershipLost) {
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
            context.append(ProgramTree.intentOf(call), outcome -> onIntentOutcome(call, outcome));
        }
    }

    private void onIntentOutcome(Call call, AppendOutcome outcome) {
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
                    if (isRepeatable(call)) {
                        send(call);
                    } else {
                        context.addAction(new ProgramAction.Withdraw(call.id));
                        refuseUnrecordable(call);
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
        context.addAction(
                switch (call.request.operation()) {
                    case Operation.ModelTurn turn -> {
                        var messages = call.agent.history();
                        messages.addAll(turn.messages());
                        yield new ProgramAction.SendModel(
                                call.id,
                                call.runner,
                                call.agent.key,
                                call.idempotencyKey(),
                                context.epoch,
                                turn.model(),
                                messages,
                                call.maxOutputTokens,
                                call.deadlineNs,
                                call.request.traceParent());
                    }
                    case Operation.ServiceCall service ->
                            new ProgramAction.SendService(
                                    call.id,
                                    call.runner,
                                    call.agent.key,
                                    call.idempotencyKey(),
                                    context.epoch,
                                    service,
                                    isRepeatable(call),
                                    call.deadlineNs,
                                    call.request.traceParent());
                    case Operation.EndProgram ignored ->
                            throw new IllegalStateException("EndProgram is not a call");
                    case Operation.ReadProgram ignored ->
                            throw new IllegalStateException("ReadProgram is not a call");
                });
    }

    /** Handles a failed attempt; if it may have run, its whole reservation counts as spent. */
    void onAttemptFailed(ProgramEvent.AttemptFailed event) {
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
                context.addAction(new ProgramAction.Withdraw(call.id));
                completion.refuse(
                        call,
                        new Refusal(
                                Refusal.Kind.TARGET_FAILED,
                                "the runner failed and the budget grant covers no second attempt",
                                Execution.UNKNOWN,
                                RESEND_RETRY_MS));
            }
        }
    }

    /** Ends a call that the scheduler refused and that was never sent. */
    void onCallRefused(ProgramEvent.CallRefused event) {
        Call call = context.calls.get(event.callId());
        if (call != null) {
            completion.refuse(
                    call, refusalKind(event.reason()), "not admitted", event.retryAfterMs());
        }
    }

    /** Ends a call at which the scheduler makes no further attempt, or looks up whether it ran. */
    void onCallAbandoned(ProgramEvent.CallAbandoned event) {
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
            completion.refuse(call, kind, "no runner took the call", event.retryAfterMs());
        } else if (call.isService() && answerHandler.supportsLookup(call)) {
            answerHandler.startLookup(call);
        } else {
            completion.refuse(
                    call,
                    new Refusal(
                            kind,
                            "the runner failed: " + event.lastFailure(),
                            Execution.UNKNOWN,
                            call.isService() ? 0 : event.retryAfterMs()));
        }
    }

    private boolean isRepeatable(Call call) {
        return switch (call.request.operation()) {
            case Operation.ModelTurn ignored -> true;
            case Operation.ServiceCall service ->
                    RequestChecks.isRepeatable(service, context.configuration);
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

    private void refuseUnrecordable(Call call) {
        completion.refuse(
                call,
                Refusal.Kind.STORE_DOWN,
                "a call that may not be repeated cannot be recorded now",
                STORE_DOWN_RETRY_MS);
    }

    private static Refusal.Kind refusalKind(RefusalReason reason) {
        return switch (reason) {
            case OVERLOADED, WORKSPACE_LIMIT, WAITED_TOO_LONG -> Refusal.Kind.OVERLOADED;
            case NO_RUNNER -> Refusal.Kind.NO_RUNNER;
            case DEADLINE -> Refusal.Kind.TIMED_OUT;
        };
    }
}
