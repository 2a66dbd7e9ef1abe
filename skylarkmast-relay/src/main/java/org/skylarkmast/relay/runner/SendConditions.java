package org.skylarkmast.relay.runner;

/**
 * What a node expected of a runner when it sent a request there.
 *
 * @param uncachedTokens prompt tokens that the runner was not known to have cached
 * @param otherRequests other requests estimated to be at the runner
 * @param hasFreeSlot whether the request was expected to run at once
 * @param usualMsPerUnit expected time for a unit of work in ms, 0 if unknown
 */
public record SendConditions(
        int uncachedTokens, double otherRequests, boolean hasFreeSlot, double usualMsPerUnit) {}
