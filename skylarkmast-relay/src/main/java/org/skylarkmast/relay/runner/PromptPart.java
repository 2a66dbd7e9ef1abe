package org.skylarkmast.relay.runner;

/**
 * A part of a prompt; runners cache parts.
 *
 * @param id identity of the part's text
 */
public record PromptPart(String id, int tokens) {}
