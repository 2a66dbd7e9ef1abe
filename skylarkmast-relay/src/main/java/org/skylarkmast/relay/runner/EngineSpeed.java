package org.skylarkmast.relay.runner;

/**
 * How fast the engines of a service work.
 *
 * @param prefillTokensPerMs prompt tokens that are not cached and are processed in a ms
 * @param slowdownPerRequest relative slowdown of a request for each other request in its batch
 */
public record EngineSpeed(double prefillTokensPerMs, double slowdownPerRequest) {

    /** Assumed before anything is measured; near the slowest known engines. */
    public static final EngineSpeed PRIOR = new EngineSpeed(60, 0.02);
}
