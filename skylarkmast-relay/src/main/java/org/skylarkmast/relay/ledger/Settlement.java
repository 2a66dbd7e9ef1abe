package org.skylarkmast.relay.ledger;

/**
 * The final token count of an attempt.
 *
 * @param program the program whose budget is charged
 * @param attempt the attempt's request id
 * @param tokens the tokens that it has spent
 * @param retentionMs how long the count is kept
 */
record Settlement(String program, String attempt, int tokens, long retentionMs) {}
