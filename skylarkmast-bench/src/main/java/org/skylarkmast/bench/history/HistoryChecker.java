package org.skylarkmast.bench.history;

import java.util.ArrayList;
import java.util.List;

/** Judges all invariants from one run's history. */
public final class HistoryChecker {
    private final AnswerRule answerRule;
    private final CheckerLimits limits;

    /**
     * @param answerRule how the engine stand-in answers
     */
    public HistoryChecker(AnswerRule answerRule, CheckerLimits limits) {
        this.answerRule = answerRule;
        this.limits = limits;
    }

    /** All violations that {@code records} show; empty if every invariant held. */
    public List<Violation> check(List<HistoryRecord> records) {
        HistoryIndex index = new HistoryIndex(records);
        List<Violation> found = new ArrayList<>();
        found.addAll(new CallRules(index).check());
        found.addAll(new ProgramRules(index, answerRule).check());
        found.addAll(new FleetRules(index, limits).check());
        return found;
    }
}
