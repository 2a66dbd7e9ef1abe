package org.skylarkmast.bench.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * One event of a run, written as a line of JSON whose {@code type} names the record.
 *
 * <p>All times are wall-clock milliseconds of the single machine that the run uses. Programs are
 * written as {@code workspace:id}, the form that targets receive.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = HistoryRecord.CallerSent.class, name = "caller_sent"),
    @JsonSubTypes.Type(value = HistoryRecord.CallerAnswered.class, name = "caller_answered"),
    @JsonSubTypes.Type(value = HistoryRecord.CallerDisconnected.class, name = "caller_cut"),
    @JsonSubTypes.Type(value = HistoryRecord.TargetCall.class, name = "target_saw"),
    @JsonSubTypes.Type(value = HistoryRecord.HistoryRead.class, name = "history_read"),
    @JsonSubTypes.Type(value = HistoryRecord.ProgramEnded.class, name = "program_ended"),
    @JsonSubTypes.Type(value = HistoryRecord.EngineCacheHeld.class, name = "engine_held"),
    @JsonSubTypes.Type(value = HistoryRecord.BudgetLimit.class, name = "budget_limit"),
    @JsonSubTypes.Type(value = HistoryRecord.RunnerLeaving.class, name = "runner_leaving"),
    @JsonSubTypes.Type(value = HistoryRecord.RunnerLive.class, name = "runner_live"),
    @JsonSubTypes.Type(value = HistoryRecord.ConfigurationAccepted.class, name = "config_accepted"),
    @JsonSubTypes.Type(value = HistoryRecord.ConfigurationSeen.class, name = "config_seen"),
    @JsonSubTypes.Type(value = HistoryRecord.FaultStarted.class, name = "fault_started"),
    @JsonSubTypes.Type(value = HistoryRecord.FaultEnded.class, name = "fault_ended")
})
public sealed interface HistoryRecord {

    /** When the event was observed. */
    long atMs();

    /** The kind of target that a call addresses. */
    enum Kind {
        /** A call to a model engine; adds a turn to the program's history. */
        MODEL,
        /** A call to a plain service. */
        SERVICE
    }

    /** What an answer states about the call's execution. */
    enum Execution {
        /** The answer states nothing. */
        UNSTATED,
        /** The call did not run. */
        NOT_RUN,
        /** The call may have run. */
        UNKNOWN,
        /** The call ran. */
        RAN
    }

    /**
     * A caller sent a request for the first time or as a retry.
     *
     * @param attempt attempt id, unique within the run
     * @param host node the caller was connected to
     * @param key idempotency key; the same in every attempt of one request
     * @param text the user message of a model call, the body of a service call
     */
    record CallerSent(
            long atMs,
            String attempt,
            String host,
            String program,
            String key,
            Kind kind,
            boolean repeatable,
            String text)
            implements HistoryRecord {}

    /**
     * A caller received a complete answer.
     *
     * @param status HTTP status
     * @param text the model's answer or the service's body; empty for a refusal
     * @param turn number of the program's turn that the call became; 0 if not reported
     * @param budgetLeftTokens -1 if not reported
     */
    record CallerAnswered(
            long atMs,
            String attempt,
            int status,
            Execution execution,
            String text,
            int turn,
            long budgetLeftTokens)
            implements HistoryRecord {

        /** Whether the request succeeded. */
        public boolean succeeded() {
            return status / 100 == 2;
        }
    }

    /**
     * A caller's connection ended before the answer was complete.
     *
     * @param connected whether the request was sent; false if the connection was refused, in which
     *     case no running call was interrupted
     */
    record CallerDisconnected(long atMs, String attempt, boolean connected, String reason)
            implements HistoryRecord {}

    /**
     * A call that a target began to run, as the target itself recorded it.
     *
     * @param endMs when it ended; -1 if the target recorded no end
     * @param key the caller's idempotency key
     */
    record TargetCall(
            long atMs,
            long endMs,
            String runner,
            Kind kind,
            String program,
            String key,
            long promptTokens,
            long outputTokens)
            implements HistoryRecord {}

    /** A program's history, read from a node at the end of the run. */
    record HistoryRead(long atMs, String program, List<Message> messages) implements HistoryRecord {
        public HistoryRead {
            messages = List.copyOf(messages);
        }
    }

    /** A message of a program's history. */
    record Message(String role, String content) {}

    /** A program was ended or has expired. */
    record ProgramEnded(long atMs, String program) implements HistoryRecord {}

    /** An engine still held cache for a program at the end of the run. */
    record EngineCacheHeld(long atMs, String runner, String program) implements HistoryRecord {}

    /** The budget of a root program, shared with its sub-agents. */
    record BudgetLimit(long atMs, String program, long tokens, int serviceCalls)
            implements HistoryRecord {}

    /** The host list marked a runner as leaving. */
    record RunnerLeaving(long atMs, String runner) implements HistoryRecord {}

    /** The host list marked a leaving runner as live again. */
    record RunnerLive(long atMs, String runner) implements HistoryRecord {}

    /** A node acknowledged the publication of a configuration. */
    record ConfigurationAccepted(long atMs, long revision) implements HistoryRecord {}

    /** A node reported the configuration revision that it has in force. */
    record ConfigurationSeen(long atMs, String node, long revision) implements HistoryRecord {}

    /**
     * The harness injected a fault.
     *
     * @param subject a node or a stand-in
     * @param kind such as {@code kill}, {@code pause} or {@code down}
     */
    record FaultStarted(long atMs, String subject, String kind) implements HistoryRecord {}

    /** The harness ended the faults of a subject; a killed node has been restarted. */
    record FaultEnded(long atMs, String subject) implements HistoryRecord {}
}
