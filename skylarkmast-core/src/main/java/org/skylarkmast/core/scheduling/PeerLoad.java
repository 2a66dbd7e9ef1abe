package org.skylarkmast.core.scheduling;

/**
 * What another node has under way on a runner.
 *
 * @param calls calls sent and not yet ended
 * @param prefillTokens prompt tokens of these calls not expected in the runner's cache
 * @param decodeTokens answer tokens still expected
 */
public record PeerLoad(String runner, int calls, long prefillTokens, long decodeTokens) {}
