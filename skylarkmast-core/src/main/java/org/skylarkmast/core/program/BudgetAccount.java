package org.skylarkmast.core.program;

/**
 * The token account of one root program.
 *
 * <p>Tokens are allotted in grants, and a grant is committed before any call uses it. A new owner
 * counts every open grant as spent and therefore never lets the program exceed its budget. At all
 * times {@code spent + reserved <= committed grants <= requested grants}.
 *
 * <p>Not thread-safe.
 */
final class BudgetAccount {
    private long requestedTokens;
    private long committedTokens;
    private long reservedTokens;
    private long spentTokens;

    /**
     * Tokens of {@code budgetTokens} that the program may still spend; the worst cases of
     * outstanding calls count as spent.
     */
    long remainingTokens(long budgetTokens) {
        return Math.max(0, budgetTokens - spentTokens - reservedTokens);
    }

    /** Whether the committed grants cover another call that may use {@code tokens}. */
    boolean covers(long tokens) {
        return spentTokens + reservedTokens + tokens <= committedTokens;
    }

    /**
     * Requests a grant that lets waiting calls use {@code tokens} more.
     *
     * @param minGrantTokens minimum size of a grant, unless less of the budget is left
     * @return tokens of the grant to commit; 0 if the budget has none left to grant
     */
    long requestGrant(long tokens, long minGrantTokens, long budgetTokens) {
        long missing = spentTokens + reservedTokens + tokens - requestedTokens;
        long grant = Math.min(Math.max(missing, minGrantTokens), budgetTokens - requestedTokens);
        requestedTokens += Math.max(0, grant);
        return Math.max(0, grant);
    }

    /** Makes a committed grant available to calls. */
    void grantCommitted(long tokens) {
        committedTokens += tokens;
    }

    /** Reserves the worst case of a call; only after {@link #covers}. */
    void reserve(long tokens) {
        reservedTokens += tokens;
    }

    /** Replaces a call's reservation by what it used; use beyond the reservation counts in full. */
    void settle(long reserved, long used) {
        reservedTokens -= reserved;
        spentTokens += used;
    }

    /** Counts all committed grants as spent: what a former owner's open calls used is unknown. */
    void countGrantsAsSpent() {
        spentTokens = Math.max(spentTokens, committedTokens);
    }

    /** Returns unused grants; only while nothing is reserved or requested. */
    void returnGrants() {
        requestedTokens = spentTokens;
        committedTokens = spentTokens;
    }

    /** Whether there are unused grants and they can be returned now. */
    boolean canReturnGrants() {
        return reservedTokens == 0
                && requestedTokens == committedTokens
                && committedTokens > spentTokens;
    }

    /** Sets the amounts read from a journal record. */
    void restore(long granted, long spent) {
        requestedTokens = granted;
        committedTokens = granted;
        spentTokens = spent;
    }

    /** Adds a grant read from the journal. */
    void replayGrant(long tokens) {
        requestedTokens += tokens;
        committedTokens += tokens;
    }

    /** Adds spent tokens read from the journal. */
    void replaySpent(long tokens) {
        spentTokens += tokens;
    }

    long grantedTokens() {
        return committedTokens;
    }

    long spentTokens() {
        return spentTokens;
    }
}
