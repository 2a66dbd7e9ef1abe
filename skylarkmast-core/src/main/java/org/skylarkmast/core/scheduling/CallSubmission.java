package org.skylarkmast.core.scheduling;

import org.skylarkmast.core.key.ProgramKey;

/**
 * A call that is ready to run: its program's earlier calls have ended and its budget is reserved.
 *
 * @param callId unique on this node
 * @param program the program or sub-agent that makes it; the cached prefix belongs to it
 * @param repeatable whether it may be sent again after a failure that may have run it
 * @param promptTokens estimated length of the whole prompt, in tokens; 0 for a plain service
 * @param maxOutputTokens bound on the answer, in tokens; 0 for a plain service
 * @param priorityLevel larger goes first
 * @param maxWaitMs time it may wait in the queue before it is refused
 * @param deadlineNs monotonic time at which it is cut wherever it is
 */
public record CallSubmission(
        long callId,
        ProgramKey program,
        Destination destination,
        boolean repeatable,
        int promptTokens,
        int maxOutputTokens,
        int priorityLevel,
        long maxWaitMs,
        long deadlineNs) {}
