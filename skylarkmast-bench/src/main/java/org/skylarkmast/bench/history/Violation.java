package org.skylarkmast.bench.history;

/**
 * A violation of an invariant, found in a history.
 *
 * @param subject the program, request, runner or node concerned
 * @param detail the observation, with times and values
 */
public record Violation(Invariant invariant, String subject, String detail) {}
