package org.skylarkmast.relay.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Decides whether a program's budget allows one more turn; has no side effects. */
public final class BudgetRule {

    private BudgetRule() {}

    /**
     * The decision on a reservation and what it follows from.
     *
     * @param settledTokens tokens that ended turns have spent, at their most without a final count
     * @param heldTokens tokens reserved for other turns that have not ended
     */
    public record Decision(Verdict verdict, long settledTokens, long heldTokens) {}

    /** Whether the budget covers a turn. */
    public enum Verdict {
        /** The budget covers the turn. */
        GRANTED,
        /**
         * The turn does not fit beside the reservations of running turns, which may be freed in
         * part when those turns end.
         */
        HELD,
        /** The tokens left after settled usage are fewer than the turn needs. */
        EXHAUSTED
    }

    /**
     * Decides on the reservation of {@code attempt}, which the reports may already contain; it is
     * not counted twice.
     *
     * @param reports the program's usages on each storage node; their union is counted, a settled
     *     usage in place of an open one
     * @param ended attempts that must have ended; without a final count they are taken to have
     *     spent the most they could
     * @param maxTokens upper bound of the tokens that the attempt may spend
     */
    public static Decision decide(
            List<List<Usage>> reports,
            Set<String> ended,
            String attempt,
            int maxTokens,
            long budget) {
        Map<String, Usage> union = new HashMap<>();
        for (List<Usage> report : reports) {
            for (Usage usage : report) {
                union.merge(usage.attempt(), usage, (a, b) -> a.settled() ? a : b);
            }
        }
        union.remove(attempt);
        long settled = 0;
        long open = 0;
        for (Usage usage : union.values()) {
            if (usage.settled() || ended.contains(usage.attempt())) {
                settled += usage.tokens();
            } else {
                open += usage.tokens();
            }
        }
        return new Decision(verdict(settled, open, maxTokens, budget), settled, open);
    }

    private static Verdict verdict(long settled, long open, int maxTokens, long budget) {
        if (settled + open + maxTokens <= budget) {
            return Verdict.GRANTED;
        }
        return settled + maxTokens <= budget ? Verdict.HELD : Verdict.EXHAUSTED;
    }
}
