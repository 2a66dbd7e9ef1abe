package org.skylarkmast.bench.decision;

import org.skylarkmast.core.key.ProgramKey;

/** How far one program or sub-agent has come. */
final class ProgramRun {
    final ProgramPlan plan;

    /** The program that waits for this one; null for a root. */
    final ProgramRun parent;

    final long startedNs;

    private int turn;
    private int historyTokens;
    private int heldTokens;
    private int openSubAgents;
    private long thinkNs;
    private long admittedNs;
    private boolean over;

    ProgramRun(ProgramPlan plan, ProgramRun parent, long startedNs) {
        this.plan = plan;
        this.parent = parent;
        this.startedNs = startedNs;
        admittedNs = startedNs;
    }

    ProgramKey key() {
        return plan.key();
    }

    ProgramRun root() {
        return parent == null ? this : parent.root();
    }

    ProgramPlan.Turn turn() {
        return plan.turns().get(turn);
    }

    boolean lastTurn() {
        return turn == plan.turns().size() - 1;
    }

    /** Tokens of the prompt of this turn's model call. */
    int promptTokens() {
        return historyTokens + turn().newPromptTokens();
    }

    /** Tokens of that prompt which an engine worked on before. */
    int seenTokens() {
        return heldTokens;
    }

    /** Takes the answer of this turn's model call into the history. */
    void answered() {
        historyTokens = promptTokens() + turn().outputTokens();
        heldTokens = historyTokens;
    }

    void nextTurn() {
        turn++;
    }

    void startSubAgents(int count) {
        openSubAgents = count;
    }

    /** Notes that a sub-agent ended; true if it was the last. */
    boolean subAgentEnded() {
        openSubAgents--;
        return openSubAgents == 0;
    }

    void addThinkNs(long ns) {
        thinkNs += ns;
    }

    /** Time since the start without the caller's own. */
    long latencyNs(long nowNs) {
        return nowNs - startedNs - thinkNs;
    }

    /** Notes that its first call was refused and is made again at {@code ns}. */
    void setAdmittedNs(long ns) {
        admittedNs = ns;
    }

    /** Whether no call of it has been answered yet. */
    boolean fresh() {
        return parent == null && heldTokens == 0;
    }

    /** Time since its admission, beyond its deadline if positive. */
    long lateNs(long nowNs) {
        return nowNs - admittedNs - thinkNs - plan.deadlineNs();
    }

    boolean over() {
        return over;
    }

    void setOver() {
        over = true;
    }
}
