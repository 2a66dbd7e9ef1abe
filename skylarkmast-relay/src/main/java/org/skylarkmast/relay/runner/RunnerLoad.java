package org.skylarkmast.relay.runner;

/**
 * A runner's load as reported with its last answer.
 *
 * @param running requests being processed
 * @param waiting requests in its queue
 * @param slots maximum number of requests processed at once
 */
public record RunnerLoad(int running, int waiting, int slots) {}
