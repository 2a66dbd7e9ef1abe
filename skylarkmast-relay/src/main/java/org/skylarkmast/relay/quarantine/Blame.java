package org.skylarkmast.relay.quarantine;

/**
 * A request that best explains the end of several runners.
 *
 * @param crashes number of runners whose end it explains
 * @param newestAgeMs time since the last of them ended
 */
public record Blame(RequestFingerprint fingerprint, int crashes, long newestAgeMs) {}
