package org.skylarkmast.core.config;

/**
 * A language model that model engines serve.
 *
 * @param version version that the engines should have loaded
 * @param contextTokens maximum number of prompt and output tokens together, above 0
 * @param maxOutputTokens maximum number of output tokens of one call, above 0
 */
public record Model(String name, String version, int contextTokens, int maxOutputTokens)
        implements ConfigurationObject {}
