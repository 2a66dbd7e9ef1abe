package org.skylarkmast.core.config;

import java.util.List;

/**
 * A declared kind of program with its limits; callers start programs from it.
 *
 * @param workspace name of the {@link Workspace} whose callers may start it
 * @param models names of the {@link Model}s its calls may ask for
 * @param services names of the plain-service {@link Target}s its calls may use
 * @param budget name of the {@link Budget} of each program
 * @param priority name of the {@link Priority} of its calls
 * @param maxTurns calls a program with its sub-agents may make, above 0; bounds loops
 * @param maxSubAgentDepth levels of sub-agents below the root, at least 0
 * @param callTimeoutMs time one call may take before it is cut, above 0
 * @param idleExpiryMs time without a call after which a program ends, above 0
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
