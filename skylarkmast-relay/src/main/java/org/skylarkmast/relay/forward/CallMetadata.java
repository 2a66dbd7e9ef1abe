package org.skylarkmast.relay.forward;

import java.util.List;
import org.skylarkmast.relay.route.Route;
import org.skylarkmast.relay.runner.Placement;
import org.skylarkmast.relay.runner.PromptPart;

/**
 * Metadata that a caller sends in the header fields of a request.
 *
 * @param requestId identifies this attempt of the caller
 * @param deadlineMs how long the caller waits for the answer, or {@link #UNSET}
 * @param program program the request belongs to, empty if none
 * @param tokenBudget tokens that all turns of the program may generate, or {@link #UNSET}
 * @param promptTokens length of the prompt, 0 if not given
 * @param maxOutputTokens maximum number of tokens in the answer, 0 if not given
 * @param expectedOutputTokens the caller's estimate of the answer's length, 0 if not given
 * @param prompt parts of the prompt, in order
 * @param previousTurn request id of the turn that this one continues, empty if none
 * @param lastEventId last event that the caller received of a stream it resumes, empty if none
 * @param resumedRequestId request id of the attempt that brought the first event of the stream that
 *     this one resumes, empty if none
 * @param affinityKey names the object that the request is about, empty if none
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
        String lastEventId,
        String resumedRequestId,
        String affinityKey) {

    /** Value of a number that the caller did not send. */
    public static final long UNSET = -1;

    /** Most answers are about a quarter as long as the maximum that the caller allows. */
    private static final int EXPECTED_OUTPUT_DIVISOR = 4;

    public CallMetadata {
        prompt = List.copyOf(prompt);
    }

    /** Creates the metadata of a request that names no object. */
    public CallMetadata(
            String requestId,
            long deadlineMs,
            String program,
            long tokenBudget,
            int promptTokens,
            int maxOutputTokens,
            int expectedOutputTokens,
            List<PromptPart> prompt,
            String previousTurn,
            String lastEventId,
            String resumedRequestId) {
        this(
                requestId,
                deadlineMs,
                program,
                tokenBudget,
                promptTokens,
                maxOutputTokens,
                expectedOutputTokens,
                prompt,
                previousTurn,
                lastEventId,
                resumedRequestId,
                "");
    }

    /**
     * Returns what the request asks of its runner on {@code route}.
     *
     * @param capacityTokens tokens for which a runner of its service has memory, 0 if unknown
     */
    Placement placementOn(Route route, long capacityTokens) {
        boolean usesMemory = capacityTokens > 0 && maxOutputTokens > 0;
        long tokens = usesMemory ? (long) promptTokens + estimatedOutputTokens() : 0;
        return new Placement(route.sticky() ? affinityKey : "", tokens, capacityTokens);
    }

    /** Returns the likely number of tokens in the answer, at least 1. */
    public int estimatedOutputTokens() {
        return expectedOutputTokens > 0
                ? expectedOutputTokens
                : Math.max(1, maxOutputTokens / EXPECTED_OUTPUT_DIVISOR);
    }

    /** Whether the tokens of the answer count against a budget of the program. */
    public boolean hasTokenBudget() {
        return !program.isEmpty() && tokenBudget != UNSET && maxOutputTokens > 0;
    }
}
