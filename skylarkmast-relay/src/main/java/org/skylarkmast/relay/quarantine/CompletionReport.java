package org.skylarkmast.relay.quarantine;

/**
 * A runner completed a suspected request, which clears the request of the crashes before and
 * shortly after.
 *
 * @param ageMs time since its completion, at least 0
 */
public record CompletionReport(RequestFingerprint fingerprint, long ageMs) {
    public CompletionReport {
        if (ageMs < 0) {
            throw new IllegalArgumentException("ageMs must not be negative: " + ageMs);
        }
    }
}
