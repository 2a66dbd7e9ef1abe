package org.skylarkmast.relay.runner;

/**
 * A part of a prompt, the unit in which runners cache prompts.
 *
 * @param id identifies the text of the part
 * @param tokens length of the part
 */
public record PromptPart(String id, int tokens) {}
