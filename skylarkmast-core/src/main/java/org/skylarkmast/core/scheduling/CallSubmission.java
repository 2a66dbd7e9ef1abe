package org.skylarkmast.core.scheduling;

import org.skylarkmast.core.key.ProgramKey;

/**
 * A call that is ready to run: its program's earlier calls have ended and its budget is reserved.
 *
 * @param callId unique on this node
 * @param program the program or sub-agent that makes the call; the cached prefix belongs to it
 * @param repeatable whether the call may be retried after a failure in which it may have run
 * @param promptTokens estimated length of the whole prompt, in tokens; 0 for a plain service
 * @param maxOutputTokens upper bound on the answer, in tokens; 0 for a plain service
 * @param priorityLevel calls with a larger value go first
 * @param maxWaitMs time the call may be queued before it is refused
 * @param deadlineNs monotonic time at which the call ends, whether it is queued or in flight
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
