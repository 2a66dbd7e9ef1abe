package org.skylarkmast.bench.decision;

import java.util.List;
import org.skylarkmast.core.key.ProgramKey;

/**
 * The planned turns of one program or sub-agent; unknown to the scheduler until they happen.
 *
 * @param arrivalNs start of a root program; unused for a sub-agent, which starts with its parent's
 *     turn
 */
record ProgramPlan(ProgramKey key, long arrivalNs, int priorityLevel, List<Turn> turns) {

    ProgramPlan {
        turns = List.copyOf(turns);
    }

    private static final double PREFILL_TOKENS_PER_S = 4_000;
    private static final double NS_PER_OUTPUT_TOKEN = 25e6;
    private static final int DEADLINE_FACTOR = 3;
    private static final long DEADLINE_ALLOWANCE_NS = 10_000_000_000L;

    /** Time the program would take on an otherwise idle engine of medium speed, in ns. */
    long unloadedNs() {
        double ns = 0;
        for (Turn turn : turns) {
            ns += turn.newPromptTokens() / PREFILL_TOKENS_PER_S * 1e9;
            ns += turn.outputTokens() * NS_PER_OUTPUT_TOKEN + turn.serviceNs() + turn.toolNs();
            ns += turn.subAgents().stream().mapToLong(ProgramPlan::unloadedNs).max().orElse(0);
        }
        return (long) ns;
    }

    /** Deadline for the end of the program, in ns from its admission. */
    long deadlineNs() {
        return DEADLINE_FACTOR * unloadedNs() + DEADLINE_ALLOWANCE_NS;
    }

    /**
     * One model call and the steps that follow it.
     *
     * @param newPromptTokens tokens added to the history before the call
     * @param serviceNs processing time of the plain-service call that follows; 0 for none
     * @param repeatable whether that service call may be retried after it may have run
     * @param toolNs tool pause after the calls; part of the program's latency
     * @param thinkNs time the caller takes before the next turn; not part of the latency
     * @param subAgents programs started after the calls; the next turn waits for all of them
     */
    record Turn(
            int newPromptTokens,
            int outputTokens,
            long serviceNs,
            boolean repeatable,
            long toolNs,
            long thinkNs,
            List<ProgramPlan> subAgents) {

        Turn {
            subAgents = List.copyOf(subAgents);
        }
    }
}
