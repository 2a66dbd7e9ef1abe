package org.skylarkmast.core.program;

import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.journal.Journal;
import org.skylarkmast.core.json.JsonUtil;

/**
 * Records the answers of runners in the journal and sends them to the callers once recorded.
 *
 * <p>Not thread-safe.
 */
final class CallAnswerHandler {

    /** Larger service answers are passed on but not stored for later duplicates. */
    private static final int MAX_STORED_BODY_BYTES = 65_536;

    private static final long RESEND_RETRY_MS = 1_000;

    private final PartitionContext context;
    private final CallCompletion completion;

    CallAnswerHandler(PartitionContext context, CallCompletion completion) {
        this.context = context;
        this.completion = completion;
    }

    /** Asks the target whether it ran a call whose outcome is not recorded. */
    void startLookup(Call call) {
        Operation.ServiceCall service = (Operation.ServiceCall) call.request.operation();
        call.phase = Call.Phase.LOOKING_UP;
        context.addAction(
                new ProgramAction.LookUp(
                        call.id, service.target(), call.agent.key, call.idempotencyKey()));
    }

    /**
     * Sends a new chunk of the answer to the callers.
     *
     * <p>A later attempt must repeat the chunks of the earlier ones; if it differs, the call is
     * refused, as callers would otherwise receive a mix of two answers.
     */
    void onTokenArrived(ProgramEvent.TokenArrived event) {
        Call call = context.calls.get(event.callId());
        if (call == null || call.phase != Call.Phase.SENT) {
            return;
        }
        if (event.index() == call.tokens.size()) {
            call.tokens.add(event.text());
            CallerEvent token = new CallerEvent.Token(event.index(), event.text());
            call.waiters.forEach(waiter -> context.emit(waiter, token));
        } else if (event.index() > call.tokens.size()
                || !call.tokens.get(event.index()).equals(event.text())) {
            context.addAction(new ProgramAction.Withdraw(call.id));
            completion.refuse(
                    call,
                    new Refusal(
                            Refusal.Kind.TARGET_FAILED,
                            "the runner failed midway and the answer could not be resumed",
                            Execution.UNKNOWN,
                            RESEND_RETRY_MS));
        }
    }

    /** Settles the budget of a complete model answer and records the turn. */
    void onModelFinished(ProgramEvent.ModelFinished event) {
        Call call = context.calls.get(event.callId());
        if (call == null || call.phase != Call.Phase.SENT) {
            return;
        }
        long used = (long) event.promptTokens() + event.outputTokens();
        call.agent.tree.budget.settle(call.reservedTokens, used);
        call.reservedTokens = 0;
        TurnSummary summary =
                context.summary(
                        call, event.promptTokens(), event.cachedTokens(), event.outputTokens());
        Operation.ModelTurn turn = (Operation.ModelTurn) call.request.operation();
        JournalRecord.TurnCompleted record =
                new JournalRecord.TurnCompleted(
                        call.agent.key,
                        call.idempotencyKey(),
                        call.request.digest(),
                        turn.messages(),
                        event.text(),
                        summary);
        if (JsonUtil.toBytes(record).length > Journal.MAX_RECORD_BYTES) {
            completion.refuse(
                    call,
                    new Refusal(
                            Refusal.Kind.TARGET_FAILED,
                            "the answer is too long to be kept",
                            Execution.RAN,
                            0));
            return;
        }
        call.phase = Call.Phase.RECORDING;
        call.answer = new CallerEvent.ModelAnswered(event.text(), summary);
        context.append(
                record,
                outcome ->
                        completion.onEndOutcome(
                                call, outcome, () -> context.state.complete(record)));
    }

    /** Records the answer of a plain service. */
    void onServiceFinished(long callId, int status, String contentType, byte[] body) {
        Call call = context.calls.get(callId);
        if (call == null
                || (call.phase != Call.Phase.SENT && call.phase != Call.Phase.LOOKING_UP)) {
            return;
        }
        TurnSummary summary = context.summary(call, 0, 0, 0);
        JournalRecord.ServiceCompleted record =
                new JournalRecord.ServiceCompleted(
                        call.agent.key,
                        call.idempotencyKey(),
                        call.request.digest(),
                        status,
                        contentType,
                        body.length > MAX_STORED_BODY_BYTES ? null : body,
                        summary);
        call.phase = Call.Phase.RECORDING;
        call.answer = new CallerEvent.ServiceAnswered(status, contentType, body, summary);
        context.append(
                record,
                outcome ->
                        completion.onEndOutcome(
                                call, outcome, () -> context.state.complete(record)));
    }

    /**
     * Handles the result of a lookup. An unknown key does not prove that the call did not run, as
     * the call may still arrive at the target.
     */
    void onLookupCompleted(ProgramEvent.LookupCompleted event) {
        if (event.status() > 0) {
            onServiceFinished(event.callId(), event.status(), event.contentType(), event.body());
            return;
        }
        Call call = context.calls.get(event.callId());
        if (call != null) {
            completion.refuse(
                    call,
                    new Refusal(
                            Refusal.Kind.TARGET_FAILED,
                            "whether the call ran cannot be told",
                            Execution.UNKNOWN,
                            0));
        }
    }

    boolean supportsLookup(Call call) {
        Operation.ServiceCall service = (Operation.ServiceCall) call.request.operation();
        Target target = context.configuration.targets().get(service.target());
        return target != null && target.supportsLookup();
    }
}
