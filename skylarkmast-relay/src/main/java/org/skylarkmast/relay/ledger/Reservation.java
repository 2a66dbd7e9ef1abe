package org.skylarkmast.relay.ledger;

/**
 * A request to reserve part of a program's budget for one attempt of a turn.
 *
 * @param maxTokens upper bound of the tokens that the turn may generate
 * @param budget tokens that all turns of the program together may generate
 * @param retentionMs how long the reservation is kept
 */
public record Reservation(
        String program, String attempt, int maxTokens, long budget, long retentionMs) {}
