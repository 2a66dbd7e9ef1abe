package org.skylarkmast.standins.engine;

/** One message of a prompt, as in chat completions. */
public record PromptMessage(String role, String content) {}
