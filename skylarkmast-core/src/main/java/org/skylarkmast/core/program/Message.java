package org.skylarkmast.core.program;

/**
 * One message of a conversation.
 *
 * @param role {@code system}, {@code user}, {@code assistant} or {@code tool}
 */
public record Message(String role, String content) {}
