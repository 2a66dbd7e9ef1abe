package org.skylarkmast.core.config;

/**
 * A language model that engines serve.
 *
 * @param version version that engines should have loaded
 * @param contextTokens most tokens of prompt and answer together, above 0
 * @param maxOutputTokens most tokens of one answer, above 0
 */
public record Model(String name, String version, int contextTokens, int maxOutputTokens)
        implements ConfigurationObject {}
