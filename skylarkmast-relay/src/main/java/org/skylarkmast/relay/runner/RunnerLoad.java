package org.skylarkmast.relay.runner;

/**
 * A runner's load as its last answer told it.
 *
 * @param running requests it worked on
 * @param waiting requests in its queue
 * @param slots requests it works on at once
 */
public record RunnerLoad(int running, int waiting, int slots) {}
