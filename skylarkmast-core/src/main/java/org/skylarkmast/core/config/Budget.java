package org.skylarkmast.core.config;

/**
 * Limits on what one program may consume, including its sub-agents.
 *
 * @param tokens total number of prompt and output tokens, at least 0
 * @param serviceCalls number of calls to plain services, at least 0
 * @param grantTokens tokens of one grant, which takes one journal write, above 0; larger grants
 *     need fewer journal writes, smaller grants leave fewer tokens unusable after a crash
 */
public record Budget(String name, long tokens, int serviceCalls, long grantTokens)
        implements ConfigurationObject {}
