package org.skylarkmast.core.config;

/**
 * The precedence of queued calls.
 *
 * @param level calls with a higher level are scheduled first
 * @param maxWaitMs time that a call may wait in the queue before it is rejected, above 0
 */
public record Priority(String name, int level, long maxWaitMs) implements ConfigurationObject {}
