package org.skylarkmast.relay.ledger;

/**
 * The ledger of completed turns and token usage.
 *
 * <p>Thread-safe. Calls block unless stated otherwise, and are idempotent: records are identified
 * by request ids.
 */
public interface TurnLedger {

    /** Whether a quorum of storage nodes answered recently; without one no turn can be served. */
    boolean reachable();

    /**
     * Like {@link #reachable}, but waits up to {@code waitMs} if no quorum has answered yet, as is
     * the case right after the process has started.
     */
    boolean awaitFirstQuorum(long waitMs) throws InterruptedException;

    /**
     * Reserves tokens for a turn, records where its stream begins and reads where the stream that
     * it resumes began. With any outcome but {@link ReserveOutcome#GRANTED} the tokens are
     * released.
     *
     * @param timeoutMs how long to retry while too few storage nodes answer
     */
    ReserveResult reserve(Reservation reservation, long timeoutMs) throws InterruptedException;

    /** Records the final token count of an attempt; does not block, retries in the background. */
    void settle(String program, String attempt, int tokens, long retentionMs);

    /**
     * Stores a turn and the final token count of its attempt.
     *
     * @param program the program whose budget is charged, empty if the turn has none
     * @param timeoutMs how long to retry until a quorum has stored it
     * @return whether a quorum has it on disk
     */
    boolean append(String program, TurnRecord turn, int tokens, long timeoutMs)
            throws InterruptedException;

    /**
     * Reads the chain that ends with {@code turnId}.
     *
     * @param timeoutMs how long to retry while the result is uncertain
     */
    ChainOutcome chain(String turnId, long timeoutMs) throws InterruptedException;
}
