package org.skylarkmast.relay.forward;

/**
 * The outcome of all sends of a request.
 *
 * @param result result of the last send
 * @param refusal error answer to generate for the caller, or null
 * @param leftToPeer whether another entry node may serve the request, since this one reaches no
 *     runner
 */
record RetryOutcome(SendResult result, Refusal refusal, boolean leftToPeer) {

    RetryOutcome(SendResult result, Refusal refusal) {
        this(result, refusal, false);
    }
}
