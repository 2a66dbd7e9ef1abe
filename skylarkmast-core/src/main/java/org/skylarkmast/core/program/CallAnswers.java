package org.skylarkmast.core.program;

import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.journal.Journal;
import org.skylarkmast.core.json.JsonUtil;

/**
 * Takes what runners answer, records it and tells it once it is recorded.
 *
 * <p>Not thread-safe.
 */
final class CallAnswers {

    /** Larger service answers are passed on but not kept for later duplicates. */
    private static final int MAX_KEPT_BODY_BYTES = 65_536;

    private static final long RESEND_RETRY_MS = 1_000;

    private final PartitionContext context;
    private final CallEnds ends;

    CallAnswers(PartitionContext context, CallEnds ends) {
        this.context = context;
        this.ends = ends;
    }

    /** Asks the target of a call whose outcome nobody recorded. */
    void lookUp(Call call) {
        Operation.ServiceCall service = (Operation.ServiceCall) call.request.operation();
        call.phase = Call.Phase.LOOKING_UP;
        context.act(
                new ProgramAction.LookUp(call.id, service.target(), call.agent.key, call.key()));
    }

    /** A piece of the answer arrived; pieces of a later attempt must repeat the earlier ones. */
    void tokenArrived(ProgramEvent.TokenArrived event) {
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
            context.act(new ProgramAction.Withdraw(call.id));
            ends.refuse(
                    call,
                    new Refusal(
                            Refusal.Kind.TARGET_FAILED,
                            "the runner failed midway and the answer could not be resumed",
                            Execution.UNKNOWN,
                            RESEND_RETRY_MS));
        }
    }

    /** A model's answer is whole. */
    void modelFinished(ProgramEvent.ModelFinished event) {
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
                        call.key(),
                        call.request.digest(),
                        turn.messages(),
                        event.text(),
                        summary);
        if (JsonUtil.toBytes(record).length > Journal.MAX_RECORD_BYTES) {
            ends.refuse(
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
                outcome -> ends.recorded(call, outcome, () -> context.state.complete(record)));
    }

    /** A plain service answered. */
    void serviceFinished(long callId, int status, String contentType, byte[] body) {
        Call call = context.calls.get(callId);
        if (call == null
                || (call.phase != Call.Phase.SENT && call.phase != Call.Phase.LOOKING_UP)) {
            return;
        }
        TurnSummary summary = context.summary(call, 0, 0, 0);
        JournalRecord.ServiceCompleted record =
                new JournalRecord.ServiceCompleted(
                        call.agent.key,
                        call.key(),
                        call.request.digest(),
                        status,
                        contentType,
                        body.length > MAX_KEPT_BODY_BYTES ? null : body,
                        summary);
        call.phase = Call.Phase.RECORDING;
        call.answer = new CallerEvent.ServiceAnswered(status, contentType, body, summary);
        context.append(
                record,
                outcome -> ends.recorded(call, outcome, () -> context.state.complete(record)));
    }

    /**
     * A target was asked about a call; an unknown key proves nothing, as the call may yet arrive.
     */
    void lookedUp(ProgramEvent.LookedUp event) {
        if (event.status() > 0) {
            serviceFinished(event.callId(), event.status(), event.contentType(), event.body());
            return;
        }
        Call call = context.calls.get(event.callId());
        if (call != null) {
            ends.refuse(
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
