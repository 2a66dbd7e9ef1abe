package org.skylarkmast.relay.ledger;

/**
 * Tokens of a program's budget that one attempt of a turn has reserved or spent.
 *
 * @param attempt the attempt's request id
 * @param tokens the tokens spent if settled, otherwise the upper bound that is reserved
 * @param settled whether the attempt has ended and the count is final
 */
public record Usage(String attempt, int tokens, boolean settled) {}
