package org.skylarkmast.core.program;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A model or service call in progress and its state at the owner. Not thread-safe. */
final class Call {

    /** Stages of a call. */
    enum Phase {
        /** Queued behind earlier calls of its program. */
        QUEUED,
        /** Waiting for a budget grant to be committed. */
        AWAITING_GRANT,
        /** Submitted to the scheduler, waiting for a runner. */
        SUBMITTED,
        /** A runner is chosen; waiting for the call's intent to be recorded. */
        AWAITING_INTENT,
        /** Sent to a runner. */
        SENT,
        /** Waiting for the target's reply to whether the call ran. */
        LOOKING_UP,
        /** Waiting for the call's end to be recorded. */
        RECORDING
    }

    final long id;
    final CallerRequest request;
    final AgentState agent;
    final long deadlineNs;
    final Set<Long> waiters = new LinkedHashSet<>();
    final List<String> tokens = new ArrayList<>();

    Phase phase = Phase.QUEUED;
    String runner = "";
    int maxPromptTokens;
    int maxOutputTokens;
    long reservedTokens;
    boolean intentAppended;
    boolean intentCommitted;

    /** Whether a failed attempt may have run. */
    boolean mayHaveRun;

    /** The final event, emitted once its record is committed or copied. */
    CallerEvent answer;

    Call(long id, CallerRequest request, AgentState agent, long deadlineNs) {
        this.id = id;
        this.request = request;
        this.agent = agent;
        this.deadlineNs = deadlineNs;
    }

    String idempotencyKey() {
        return request.idempotencyKey();
    }

    boolean isService() {
        return request.operation() instanceof Operation.ServiceCall;
    }
}
