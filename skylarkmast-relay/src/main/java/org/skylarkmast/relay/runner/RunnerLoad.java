package org.skylarkmast.relay.runner;

import java.util.OptionalDouble;

/**
 * A runner's load as reported with its last answer.
 *
 * @param running requests being processed
 * @param waiting requests in its queue
 * @param slots maximum number of requests processed at once
 * @param slowness how long work currently takes on its machine, as a multiple of the usual time;
 *     empty if it does not say
 */
public record RunnerLoad(int running, int waiting, int slots, OptionalDouble slowness) {

    /** Creates the load of a runner that does not say how slow its machine is. */
    public RunnerLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalDouble.empty());
    }
}
