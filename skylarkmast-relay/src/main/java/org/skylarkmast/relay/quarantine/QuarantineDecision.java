package org.skylarkmast.relay.quarantine;

/** The decision whether a request may be sent to a runner. */
public sealed interface QuarantineDecision {

    /** The request may be sent. */
    record Admitted() implements QuarantineDecision {}

    /**
     * The request must not be sent: it is blamed for the end of runners.
     *
     * @param remainingMs time until this node may admit it again, above 0
     * @param crashes number of runners whose end it is blamed for
     */
    record Quarantined(long remainingMs, int crashes) implements QuarantineDecision {}
}
