package org.skylarkmast.relay.quarantine;

/**
 * A request that was at a runner when the runner ended, and had produced no event.
 *
 * @param heldMs time from its send to the runner to the end of the runner, at least 0
 */
public record Suspect(RequestFingerprint fingerprint, long heldMs) {

    /** Time within which a runner that is not busy has begun a request. */
    private static final long PROMPT_MS = 150;

    public Suspect {
        if (heldMs < 0) {
            throw new IllegalArgumentException("heldMs must not be negative: " + heldMs);
        }
    }

    /** Whether the runner ended as soon as it had the request. */
    public boolean isPrompt() {
        return heldMs <= PROMPT_MS;
    }
}
