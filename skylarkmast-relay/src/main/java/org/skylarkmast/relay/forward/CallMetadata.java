package org.skylarkmast.relay.forward;

import java.util.List;
import org.skylarkmast.relay.runner.PromptPart;

/**
 * What a caller says about its request beside method, target and body.
 *
 * @param requestId identity of this attempt of the caller
 * @param deadlineMs how long the caller waits, or {@link #UNSET}
 * @param program program the request belongs to, empty if none
 * @param tokenBudget tokens that all turns of the program may generate, or {@link #UNSET}
 * @param promptTokens length of the prompt, 0 if not said
 * @param maxOutputTokens most tokens that the answer has, 0 if not said
 * @param expectedOutputTokens the caller's estimate of the answer's length, 0 if not said
 * @param prompt parts of the prompt, in order
 * @param previousTurn request id of the turn this one continues from, empty if none
 * @param lastEventId last event the caller has of a stream it resumes, empty if none
 */
public record CallMetadata(
        String requestId,
        long deadlineMs,
        String program,
        long tokenBudget,
        int promptTokens,
        int maxOutputTokens,
        int expectedOutputTokens,
        List<PromptPart> prompt,
        String previousTurn,
        String lastEventId) {

    /** Value of a number that the caller did not give. */
    public static final long UNSET = -1;

    public CallMetadata {
        prompt = List.copyOf(prompt);
    }

    /** Whether the request takes tokens from a budget. */
    public boolean budgeted() {
        return !program.isEmpty() && tokenBudget != UNSET && maxOutputTokens > 0;
    }
}
