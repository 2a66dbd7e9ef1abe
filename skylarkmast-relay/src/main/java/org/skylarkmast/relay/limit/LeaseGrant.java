package org.skylarkmast.relay.limit;

/**
 * Tokens of a workspace that its granter leases to an entry node.
 *
 * @param tokens tokens leased
 * @param waitMs time after which it is worth asking for more, 0 if there is no shortage
 * @param share the node's part of the tokens leased recently to all nodes, in [0, 1]
 * @param recentTokens tokens leased recently to all nodes, weighted by age
 * @param level tokens left in the bucket; below 0 while admissions without a token are made up for
 */
public record LeaseGrant(
        int tokens, long waitMs, double share, double recentTokens, double level) {}
