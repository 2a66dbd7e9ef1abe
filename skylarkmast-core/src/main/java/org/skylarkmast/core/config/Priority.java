package org.skylarkmast.core.config;

/**
 * An order of precedence between calls that wait.
 *
 * @param level larger goes first
 * @param maxWaitMs time a call may wait in the queue before it is refused, above 0
 */
public record Priority(String name, int level, long maxWaitMs) implements ConfigurationObject {}
