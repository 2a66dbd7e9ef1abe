package org.skylarkmast.core.program;

/**
 * The token account of one root program.
 *
 * <p>Tokens are set aside in grants that are committed before any call uses them, so that a new
 * owner, which counts every open grant as spent, can never let the program spend more than its
 * budget. At all times {@code spent + reserved <= committed grants <= requested grants}.
 *
 * <p>Not thread-safe.
 */
final class BudgetAccount {
    private long requestedTokens;
    private long committedTokens;
    private long reservedTokens;
    private long spentTokens;

    /**
     * Tokens the program may still spend of {@code budgetTokens}, worst cases under way counted.
     */
    long leftTokens(long budgetTokens) {
        return Math.max(0, budgetTokens - spentTokens - reservedTokens);
    }

    /** Whether a call that may use {@code tokens} fits into what is committed. */
    boolean covers(long tokens) {
        return spentTokens + reservedTokens + tokens <= committedTokens;
    }

    /**
     * Asks for a grant that lets waiting calls use {@code tokens} more.
     *
     * @param chunkTokens least size of a grant, as far as the budget goes
     * @return tokens of the grant to commit; 0 if the budget has none left to grant
     */
    long requestGrant(long tokens, long chunkTokens, long budgetTokens) {
        long missing = spentTokens + reservedTokens + tokens - requestedTokens;
        long grant = Math.min(Math.max(missing, chunkTokens), budgetTokens - requestedTokens);
        requestedTokens += Math.max(0, grant);
        return Math.max(0, grant);
    }

    /** A grant is committed. */
    void grantCommitted(long tokens) {
        committedTokens += tokens;
    }

    /** Reserves the worst case of a call; only after {@link #covers}. */
    void reserve(long tokens) {
        reservedTokens += tokens;
    }

    /** Replaces a call's reservation by what it used; a late report of more is counted in full. */
    void settle(long reserved, long used) {
        reservedTokens -= reserved;
        spentTokens += used;
    }

    /** Counts all that is committed as spent: what a former owner's open calls used is unknown. */
    void writeOffGrants() {
        spentTokens = Math.max(spentTokens, committedTokens);
    }

    /** Gives unused grants back; only while nothing is reserved or requested. */
    void returnGrants() {
        requestedTokens = spentTokens;
        committedTokens = spentTokens;
    }

    /** Whether unused grants can be given back now. */
    boolean returnable() {
        return reservedTokens == 0
                && requestedTokens == committedTokens
                && committedTokens > spentTokens;
    }

    /** Takes over the amounts of a journal record. */
    void restore(long granted, long spent) {
        requestedTokens = granted;
        committedTokens = granted;
        spentTokens = spent;
    }

    /** A grant read from the journal. */
    void replayGrant(long tokens) {
        requestedTokens += tokens;
        committedTokens += tokens;
    }

    /** A settled use read from the journal. */
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
