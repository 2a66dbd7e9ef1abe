package org.skylarkmast.relay.ledger;

/**
 * A turn's claim on its program's budget.
 *
 * @param maxTokens most that the turn may generate
 * @param budget tokens that all turns of the program may generate
 * @param retentionMs how long the claim is remembered
 */
public record Reservation(
        String program, String attempt, int maxTokens, long budget, long retentionMs) {}
