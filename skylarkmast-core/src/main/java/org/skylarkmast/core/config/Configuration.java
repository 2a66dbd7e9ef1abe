package org.skylarkmast.core.config;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A complete, validated set of objects; every map is keyed by the object's name.
 *
 * @param revision increases by one with every published change; 0 for the empty set before the
 *     first change
 */
public record Configuration(
        long revision,
        Map<String, Workspace> workspaces,
        Map<String, ProgramTemplate> programs,
        Map<String, Target> targets,
        Map<String, Model> models,
        Map<String, Budget> budgets,
        Map<String, Priority> priorities) {

    /** The empty configuration, before the first publish. */
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

    /**
     * Builds a configuration from its objects.
     *
     * @throws IllegalStateException if two objects of one kind have the same name
     */
    public static Configuration of(
            long revision, Collection<? extends ConfigurationObject> objects) {
        return new Configuration(
                revision,
                ofType(objects, Workspace.class),
                ofType(objects, ProgramTemplate.class),
                ofType(objects, Target.class),
                ofType(objects, Model.class),
                ofType(objects, Budget.class),
                ofType(objects, Priority.class));
    }

    /** Returns all objects, ordered by kind and name. */
    public List<ConfigurationObject> objects() {
        return Stream.of(workspaces, programs, targets, models, budgets, priorities)
                .flatMap(byName -> byName.values().stream())
                .map(ConfigurationObject.class::cast)
                .sorted(Comparator.comparing(ConfigurationObject::objectName))
                .toList();
    }

    /** Returns a configuration with the same objects and another revision. */
    public Configuration withRevision(long otherRevision) {
        return new Configuration(
                otherRevision, workspaces, programs, targets, models, budgets, priorities);
    }

    /** Returns the workspace whose key digests include {@code keySha256}, in lower-case hex. */
    public Optional<Workspace> workspaceByKeyDigest(String keySha256) {
        return workspaces.values().stream()
                .filter(workspace -> workspace.keySha256().contains(keySha256))
                .findFirst();
    }

    private static <T extends ConfigurationObject> Map<String, T> ofType(
            Collection<? extends ConfigurationObject> objects, Class<T> type) {
        return objects.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .collect(Collectors.toMap(ConfigurationObject::name, Function.identity()));
    }
}
