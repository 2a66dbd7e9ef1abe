package org.skylarkmast.core.program;

import org.skylarkmast.core.key.ProgramKey;

/**
 * A live root program, for operators.
 *
 * @param turns calls made, those of sub-agents included
 * @param grantedTokens tokens committed to be spent, the spent ones included
 * @param idleNs time since its last call ended, in nanoseconds
 */
public record ProgramSummary(
        ProgramKey root,
        String template,
        int turns,
        int serviceCalls,
        long spentTokens,
        long grantedTokens,
        long idleNs) {}
