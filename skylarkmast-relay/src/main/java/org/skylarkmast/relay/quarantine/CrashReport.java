package org.skylarkmast.relay.quarantine;

import java.util.List;

/**
 * The end of a runner that did not announce it, as one node tells another.
 *
 * @param incarnation the runner's incarnation
 * @param suspects the requests that may have ended it; empty if there was none
 * @param ageMs time since the runner ended, at least 0
 */
public record CrashReport(String incarnation, List<Suspect> suspects, long ageMs) {
    public CrashReport {
        suspects = List.copyOf(suspects);
        if (ageMs < 0) {
            throw new IllegalArgumentException("ageMs must not be negative: " + ageMs);
        }
    }
}
