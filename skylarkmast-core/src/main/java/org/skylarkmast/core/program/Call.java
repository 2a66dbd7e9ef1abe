package org.skylarkmast.core.program;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One request under way; the state of its way through the owner. Not thread-safe. */
final class Call {

    /** How far a call has got. */
    enum Phase {
        /** Behind earlier calls of its program. */
        QUEUED,
        /** Waits for a budget grant to be committed. */
        AWAITING_GRANT,
        /** With the scheduler. */
        SUBMITTED,
        /** A runner is chosen; waits for its intent to be committed. */
        AWAITING_INTENT,
        /** Sent to a runner. */
        SENT,
        /** Its target is asked whether it ran. */
        LOOKING_UP,
        /** Its end waits to be committed. */
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
    int promptBoundTokens;
    int maxTokens;
    long reservedTokens;
    boolean intentAppended;
    boolean intentCommitted;

    /** Whether an attempt failed that may have run. */
    boolean mayHaveRun;

    /** The final event, told once its record is committed or copied. */
    CallerEvent answer;

    Call(long id, CallerRequest request, AgentState agent, long deadlineNs) {
        this.id = id;
        this.request = request;
        this.agent = agent;
        this.deadlineNs = deadlineNs;
    }

    String key() {
        return request.idempotencyKey();
    }

    boolean isService() {
        return request.operation() instanceof Operation.ServiceCall;
    }
}
