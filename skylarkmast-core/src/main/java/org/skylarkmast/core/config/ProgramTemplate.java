package org.skylarkmast.core.config;

import java.util.List;

/**
 * A template with limits from which callers start programs.
 *
 * @param workspace name of the {@link Workspace} whose callers may use the template
 * @param models names of the {@link Model}s that its calls may request
 * @param services names of the plain-service {@link Target}s that its calls may use
 * @param budget name of the {@link Budget} of each program
 * @param priority name of the {@link Priority} of its calls
 * @param maxTurns maximum number of calls of a program including its sub-agents, above 0; stops
 *     programs that loop endlessly
 * @param maxSubAgentDepth maximum number of levels of sub-agents below the root program, at least 0
 * @param callTimeoutMs time after which a call is aborted, above 0
 * @param idleExpiryMs time without a call after which a program is ended, above 0
 */
public record ProgramTemplate(
        String name,
        String workspace,
        List<String> models,
        List<String> services,
        String budget,
        String priority,
        int maxTurns,
        int maxSubAgentDepth,
        long callTimeoutMs,
        long idleExpiryMs)
        implements ConfigurationObject {

    public ProgramTemplate {
        models = List.copyOf(models);
        services = List.copyOf(services);
    }
}
