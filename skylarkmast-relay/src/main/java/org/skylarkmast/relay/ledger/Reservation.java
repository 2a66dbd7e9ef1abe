package org.skylarkmast.relay.ledger;

/**
 * A request to reserve part of a program's budget for one attempt of a turn, and to record where
 * the attempt's stream begins.
 *
 * @param program the program whose budget is charged, empty if the attempt has no budget
 * @param maxTokens upper bound of the tokens that the turn may generate
 * @param budget tokens that all turns of the program together may generate
 * @param retentionMs how long the reservation is kept
 * @param origin where the attempt's stream is about to begin, or null if it cannot be resumed
 * @param resumedAttempt attempt that brought the first event of the stream that this one resumes,
 *     empty if none
 * @param remainingTimeMs time after which the attempt must have ended, at least 0
 */
public record Reservation(
        String program,
        String attempt,
        int maxTokens,
        long budget,
        long retentionMs,
        StreamOrigin origin,
        String resumedAttempt,
        long remainingTimeMs) {

    /** Returns a reservation without tokens that only records an origin of {@code attempt}. */
    public static Reservation ofOrigin(String attempt, long retentionMs, StreamOrigin origin) {
        return new Reservation("", attempt, 0, Long.MAX_VALUE, retentionMs, origin, "", 0);
    }
}
