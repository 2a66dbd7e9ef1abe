package org.skylarkmast.relay.ledger;

/**
 * The ledger of turns and spent tokens.
 *
 * <p>Calls block and may be made from any thread. Every call may be repeated: records are
 * identified by request ids.
 */
public interface TurnLedger {

    /** Whether a quorum of storage nodes answered lately; without one no turn can be served. */
    boolean reachable();

    /**
     * Like {@link #reachable}, but waits if no quorum ever answered: that is so in a process's
     * first moments.
     */
    boolean awaitFirst(long waitMs) throws InterruptedException;

    /**
     * Reserves tokens for a turn; anything but {@link ReserveOutcome#GRANTED} leaves nothing
     * reserved.
     *
     * @param patienceMs how long to try while too few storage nodes answer
     */
    ReserveOutcome reserve(Reservation claim, long patienceMs) throws InterruptedException;

    /** Tells the final count of an attempt to the storage nodes, in the background. */
    void settle(String program, String attempt, int tokens, long retentionMs);

    /**
     * Keeps a turn, with the final count of its attempt.
     *
     * @param program the budget's program, empty if the turn has none
     * @param patienceMs how long to try
     * @return whether a quorum has it on disk
     */
    boolean append(String program, TurnRecord turn, int tokens, long patienceMs)
            throws InterruptedException;

    /**
     * Reads the chain that ends with {@code turnId}.
     *
     * @param patienceMs how long to try while the answer is uncertain
     */
    ChainOutcome chain(String turnId, long patienceMs) throws InterruptedException;
}
