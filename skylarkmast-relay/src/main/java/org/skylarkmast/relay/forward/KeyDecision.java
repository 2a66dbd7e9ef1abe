package org.skylarkmast.relay.forward;

/** Whether a request is served as far as its caller's key is concerned. */
sealed interface KeyDecision {

    /** The request is served on behalf of {@code identity}. */
    record Admitted(CallerIdentity identity) implements KeyDecision {}

    /**
     * The request is rejected.
     *
     * @param workspace name of the key's workspace, empty if none is known
     */
    record Rejected(Refusal refusal, String workspace) implements KeyDecision {}
}
