package org.skylarkmast.bench.decision;

import org.skylarkmast.core.key.ProgramKey;

/** The progress of one program or sub-agent in a {@link Simulation}. */
final class SimulatedProgram {
    final ProgramPlan plan;

    /** The program that waits for this one; null for a root. */
    final SimulatedProgram parent;

    final long startedNs;

    private int turnIndex;
    private int historyTokens;
    private int processedTokens;
    private int runningSubAgents;
    private long thinkNs;
    private long admittedNs;
    private boolean ended;

    SimulatedProgram(ProgramPlan plan, SimulatedProgram parent, long startedNs) {
        this.plan = plan;
        this.parent = parent;
        this.startedNs = startedNs;
        admittedNs = startedNs;
    }

    ProgramKey key() {
        return plan.key();
    }

    SimulatedProgram root() {
        return parent == null ? this : parent.root();
    }

    ProgramPlan.Turn turn() {
        return plan.turns().get(turnIndex);
    }

    boolean isLastTurn() {
        return turnIndex == plan.turns().size() - 1;
    }

    /** Number of prompt tokens of this turn's model call. */
    int promptTokens() {
        return historyTokens + turn().newPromptTokens();
    }

    /** Number of those prompt tokens that an engine has processed before. */
    int previouslyProcessedTokens() {
        return processedTokens;
    }

    /** Appends the answer of this turn's model call to the history. */
    void appendAnswer() {
        historyTokens = promptTokens() + turn().outputTokens();
        processedTokens = historyTokens;
    }

    void nextTurn() {
        turnIndex++;
    }

    void startSubAgents(int count) {
        runningSubAgents = count;
    }

    /** Records the end of a sub-agent; true if it was the last one. */
    boolean onSubAgentEnded() {
        runningSubAgents--;
        return runningSubAgents == 0;
    }

    void addThinkNs(long ns) {
        thinkNs += ns;
    }

    /** Time since the start, less the caller's own think time. */
    long latencyNs(long nowNs) {
        return nowNs - startedNs - thinkNs;
    }

    /** Records that the first call was refused and is retried at {@code ns}. */
    void setAdmittedNs(long ns) {
        admittedNs = ns;
    }

    /** Whether this is a root program of which no model call has been answered yet. */
    boolean awaitsFirstAnswer() {
        return parent == null && processedTokens == 0;
    }

    /** Time past the deadline; negative before it. */
    long overdueNs(long nowNs) {
        return nowNs - admittedNs - thinkNs - plan.deadlineNs();
    }

    boolean ended() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }
}
