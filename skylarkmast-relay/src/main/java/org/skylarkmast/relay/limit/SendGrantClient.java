package org.skylarkmast.relay.limit;

import java.util.Optional;

/** Requests sends from the storage node that limits the sends of all entry nodes to a runner. */
@FunctionalInterface
public interface SendGrantClient {

    /**
     * Requests a send; see {@link SendRateLimiter#decide}.
     *
     * @return its decision, or empty if the storage node did not answer
     */
    Optional<SendGrant> request(SendRequest request);
}
