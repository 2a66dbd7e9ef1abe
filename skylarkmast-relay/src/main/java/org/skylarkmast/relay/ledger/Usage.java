package org.skylarkmast.relay.ledger;

/**
 * Tokens that one attempt of a turn takes from its program's budget.
 *
 * @param attempt the attempt's request id
 * @param tokens what it spent if settled, otherwise the most it may spend
 * @param settled whether the attempt has ended and its count is final
 */
public record Usage(String attempt, int tokens, boolean settled) {}
