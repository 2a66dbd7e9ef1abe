package org.skylarkmast.core.config;

/**
 * What one program with its sub-agents may spend.
 *
 * @param tokens prompt and answer tokens together, at least 0
 * @param serviceCalls calls to plain services, at least 0
 * @param grantTokens tokens committed to the journal at a time; larger saves store writes, smaller
 *     strands less after a crash; above 0
 */
public record Budget(String name, long tokens, int serviceCalls, long grantTokens)
        implements ConfigurationObject {}
