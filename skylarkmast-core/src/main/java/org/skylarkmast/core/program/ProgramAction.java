package org.skylarkmast.core.program;

import java.util.List;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.scheduling.CallSubmission;

/** What a partition's programs want done. */
public sealed interface ProgramAction {

    /** Appends a record to the partition's journal; its fate comes back under the ticket. */
    record Append(long ticket, JournalRecord record) implements ProgramAction {}

    /** Gives a call to the scheduler. */
    record Submit(CallSubmission call, String traceParent) implements ProgramAction {}

    /** Takes a call back from the scheduler and cuts it if it is under way. */
    record Withdraw(long callId) implements ProgramAction {}

    /**
     * Sends a model call to a runner, if the lease still holds.
     *
     * @param messages the whole history with the new messages
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

    /** Sends a service call to a runner, if the lease still holds. */
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

    /** Asks a target by key whether a call ran; answered by {@link ProgramEvent.LookedUp}. */
    record LookUp(long callId, String target, ProgramKey program, String idempotencyKey)
            implements ProgramAction {}

    /** Passes an event to a waiting caller. */
    record Emit(long waiterId, CallerEvent event) implements ProgramAction {}

    /** A program or sub-agent is gone; engines should drop what they hold for it. */
    record ReleaseProgram(ProgramKey program) implements ProgramAction {}
}
