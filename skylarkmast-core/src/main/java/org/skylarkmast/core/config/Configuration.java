package org.skylarkmast.core.config;

import java.util.Map;
import java.util.Optional;

/**
 * One whole, checked set of objects; every map is keyed by the object's name.
 *
 * @param revision grows by one with every published change; 0 is the empty set before the first
 */
public record Configuration(
        long revision,
        Map<String, Workspace> workspaces,
        Map<String, ProgramTemplate> programs,
        Map<String, Target> targets,
        Map<String, Model> models,
        Map<String, Budget> budgets,
        Map<String, Priority> priorities) {

    /** The empty set before the first publish. */
    public static final Configuration EMPTY =
            new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    public Configuration {
        workspaces = Map.copyOf(workspaces);
        programs = Map.copyOf(programs);
        targets = Map.copyOf(targets);
        models = Map.copyOf(models);
        budgets = Map.copyOf(budgets);
        priorities = Map.copyOf(priorities);
    }

    /** The workspace whose list of key digests holds {@code keySha256}, a lower-case hex digest. */
    public Optional<Workspace> workspaceOfKey(String keySha256) {
        return workspaces.values().stream()
                .filter(workspace -> workspace.keySha256().contains(keySha256))
                .findFirst();
    }
}
