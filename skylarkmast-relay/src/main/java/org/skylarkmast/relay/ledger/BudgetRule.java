package org.skylarkmast.relay.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Decides whether a program's budget holds one more turn; pure. */
public final class BudgetRule {

    private BudgetRule() {}

    /** The verdict on a reservation. */
    public enum Verdict {
        /** The budget holds the turn. */
        GRANTED,
        /** Turns under way hold what is left; some of it may be freed when they end. */
        HELD,
        /** What is spent for good leaves less than the turn needs. */
        EXHAUSTED
    }

    /**
     * Decides on {@code attempt}, which the storage nodes counted already.
     *
     * @param reports what each storage node knows of the program; the union counts
     * @param maxTokens most that the attempt may spend
     */
    public static Verdict decide(
            List<List<Usage>> reports, String attempt, int maxTokens, long budget) {
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
            if (usage.settled()) {
                settled += usage.tokens();
            } else {
                open += usage.tokens();
            }
        }
        if (settled + open + maxTokens <= budget) {
            return Verdict.GRANTED;
        }
        return settled + maxTokens <= budget ? Verdict.HELD : Verdict.EXHAUSTED;
    }
}
