package org.skylarkmast.core.scheduling;

/**
 * The load that another node's calls put on a runner.
 *
 * @param calls calls in flight
 * @param prefillTokens prompt tokens of these calls that are not expected in the runner's cache
 * @param decodeTokens answer tokens still expected
 */
public record PeerLoad(String runner, int calls, long prefillTokens, long decodeTokens) {}
