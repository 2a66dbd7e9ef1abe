package org.skylarkmast.bench.history;

/**
 * An invariant that a history shows broken.
 *
 * @param subject the program, request, runner or node concerned
 * @param detail what was seen, with times and values
 */
public record Violation(Invariant invariant, String subject, String detail) {}
