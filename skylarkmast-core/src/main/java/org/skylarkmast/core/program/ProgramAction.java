package org.skylarkmast.core.program;

import java.util.List;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.scheduling.CallSubmission;

/** Actions that a {@link PartitionStateMachine} requests from its node. */
public sealed interface ProgramAction {

    /**
     * Appends a record to the partition's journal.
     *
     * @param ticket identifies the record in {@link ProgramEvent.Appended}
     */
    record Append(long ticket, JournalRecord record) implements ProgramAction {}

    /** Submits a call to the scheduler. */
    record Submit(CallSubmission call, String traceParent) implements ProgramAction {}

    /** Withdraws a call from the scheduler and cancels it if it is in flight. */
    record Withdraw(long callId) implements ProgramAction {}

    /**
     * Sends a model call to a runner, if the lease is still valid.
     *
     * @param messages the complete history followed by the new messages
     */
    record SendModel(
            long callId,
            String runner,
            ProgramKey program,
            String idempotencyKey,
            long epoch,
            String model,
            List<Message> messages,
            int maxTokens,
            long deadlineNs,
            String traceParent)
            implements ProgramAction {
        public SendModel {
            messages = List.copyOf(messages);
        }
    }

    /** Sends a service call to a runner, if the lease is still valid. */
    record SendService(
            long callId,
            String runner,
            ProgramKey program,
            String idempotencyKey,
            long epoch,
            Operation.ServiceCall call,
            boolean repeatable,
            long deadlineNs,
            String traceParent)
            implements ProgramAction {}

    /**
     * Asks a target by idempotency key whether a call ran; answered by {@link
     * ProgramEvent.LookupCompleted}.
     */
    record LookUp(long callId, String target, ProgramKey program, String idempotencyKey)
            implements ProgramAction {}

    /** Passes an event to a waiting caller. */
    record Emit(long waiterId, CallerEvent event) implements ProgramAction {}

    /** Tells engines to free what they hold for a program or sub-agent that has ended. */
    record ReleaseProgram(ProgramKey program) implements ProgramAction {}
}
