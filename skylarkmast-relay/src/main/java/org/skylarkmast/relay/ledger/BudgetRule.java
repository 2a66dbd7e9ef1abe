package org.skylarkmast.relay.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** Decides whether a program's budget allows one more turn; has no side effects. */
public final class BudgetRule {

    private BudgetRule() {}

    /**
     * The decision on a reservation and what it follows from.
     *
     * @param settledTokens tokens that ended turns have spent, at their most without a final count
     * @param heldTokens tokens reserved for other turns that have not ended
     * @param precedence where the turn stands among the open reservations of its program
     */
    public record Decision(
            Verdict verdict, long settledTokens, long heldTokens, Precedence precedence) {}

    /**
     * Which of the reservations that deny each other may wait for the others to be withdrawn. They
     * are ordered by their attempts.
     */
    public enum Precedence {
        /** The budget covers the turn beside all reservations that do not give way to it. */
        FIRST,
        /**
         * It does so only if each later reservation that has no precedence itself is withdrawn. One
         * that stays open belongs to a turn that was granted before.
         */
        FIRST_IF_OTHERS_WITHDRAW,
        /** The turn gives way. */
        NONE
    }

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
        SortedMap<String, Usage> openByAttempt = new TreeMap<>();
        for (Usage usage : union.values()) {
            if (usage.settled() || ended.contains(usage.attempt())) {
                settled += usage.tokens();
            } else {
                open += usage.tokens();
                openByAttempt.put(usage.attempt(), usage);
            }
        }
        return new Decision(
                verdict(settled, open, maxTokens, budget),
                settled,
                open,
                precedence(openByAttempt, attempt, maxTokens, budget - settled));
    }

    private static Precedence precedence(
            SortedMap<String, Usage> open, String attempt, int maxTokens, long left) {
        long before = 0;
        for (Usage usage : open.headMap(attempt).values()) {
            before += usage.tokens();
        }
        if (before + maxTokens > left) {
            return Precedence.NONE;
        }
        long beforeLater = before + maxTokens;
        long staying = 0;
        for (Usage usage : open.tailMap(attempt).values()) {
            beforeLater += usage.tokens();
            staying += beforeLater > left ? usage.tokens() : 0;
        }
        return before + staying + maxTokens <= left
                ? Precedence.FIRST
                : Precedence.FIRST_IF_OTHERS_WITHDRAW;
    }

    private static Verdict verdict(long settled, long open, int maxTokens, long budget) {
        if (settled + open + maxTokens <= budget) {
            return Verdict.GRANTED;
        }
        return settled + maxTokens <= budget ? Verdict.HELD : Verdict.EXHAUSTED;
    }
}
