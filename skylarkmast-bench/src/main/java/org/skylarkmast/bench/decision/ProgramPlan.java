package org.skylarkmast.bench.decision;

import java.util.List;
import org.skylarkmast.core.key.ProgramKey;

/**
 * What one program or sub-agent is going to do; unknown to the scheduler until it happens.
 *
 * @param arrivalNs start of a root program; unused for a sub-agent, which starts with its turn
 */
record ProgramPlan(ProgramKey key, long arrivalNs, int priorityLevel, List<Turn> turns) {

    ProgramPlan {
        turns = List.copyOf(turns);
    }

    private static final double PREFILL_TOKENS_PER_S = 4_000;
    private static final double ANSWER_TOKEN_NS = 25e6;
    private static final int DEADLINE_FACTOR = 3;
    private static final long DEADLINE_FLOOR_NS = 10_000_000_000L;

    /** Time the program would take alone on a middling engine, in nanoseconds. */
    long unloadedNs() {
        double ns = 0;
        for (Turn turn : turns) {
            ns += turn.newPromptTokens() / PREFILL_TOKENS_PER_S * 1e9;
            ns += turn.outputTokens() * ANSWER_TOKEN_NS + turn.serviceNs() + turn.toolNs();
            ns += turn.subAgents().stream().mapToLong(ProgramPlan::unloadedNs).max().orElse(0);
        }
        return (long) ns;
    }

    /** Time from its admission after which its end is of no use, in nanoseconds. */
    long deadlineNs() {
        return DEADLINE_FACTOR * unloadedNs() + DEADLINE_FLOOR_NS;
    }

    /**
     * One model call and what follows it.
     *
     * @param newPromptTokens tokens added to the history before the call
     * @param serviceNs time of a plain-service call after it; 0 for none
     * @param repeatable whether that service call may be repeated
     * @param toolNs tool pause after it; counts towards the program's latency
     * @param thinkNs time the caller takes before the next turn; does not count
     * @param subAgents programs started after it; the next turn waits for all of them
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
