package org.skylarkmast.bench.history;

import java.util.ArrayList;
import java.util.List;

/** Checks all invariants against the history of one run. */
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

    /** Returns all violations violations in {@code records}; empty if every invariant held. */
    public List<Violation> check(List<HistoryRecord> records) {
        HistoryIndex index = new HistoryIndex(records);
        List<Violation> violations = new ArrayList<>();
        violations.addAll(new RequestRules(index).check());
        violations.addAll(new ProgramRules(index, answerRule).check());
        violations.addAll(new ClusterRules(index, limits).check());
        return violations;
    }
}
