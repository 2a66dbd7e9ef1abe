package org.skylarkmast.relay.runner;

/**
 * A runner as a choice sees it.
 *
 * @param load requests it is believed to hold, ours and others'; a fraction where it is a mean
 * @param loadIsOwn whether the runner told the load to this node just now
 * @param msPerUnit learned time for a unit of work, or 0 if nothing is known
 * @param cachedTokens prompt tokens it is believed to have cached
 * @param failureShare part of its requests that it is believed to fail, between 0 and 1
 * @param avoided whether it failed lately and is only used if nothing else is there
 */
public record RunnerView(
        Runner runner,
        double load,
        boolean loadIsOwn,
        double msPerUnit,
        int cachedTokens,
        double failureShare,
        boolean avoided) {}
