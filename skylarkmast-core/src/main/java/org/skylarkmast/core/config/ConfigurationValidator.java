package org.skylarkmast.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Validates a complete set of objects and lists every problem.
 *
 * <p>Programs refer to workspaces, models, targets, budgets and priorities, and targets refer to
 * models. The references between kinds are acyclic, so objects cannot form a cycle.
 */
public final class ConfigurationValidator {
    private final List<Problem> problems = new ArrayList<>();
    private final Map<ObjectName, DeclaredObject> byName = new HashMap<>();
    private final Map<String, DeclaredObject> byRunnerName = new HashMap<>();
    private final Map<String, DeclaredObject> byRunnerAddress = new HashMap<>();
    private final Map<String, DeclaredObject> byKeyDigest = new HashMap<>();

    private ConfigurationValidator() {}

    /**
     * Validates {@code objects} as a complete configuration.
     *
     * @param revision revision of the resulting configuration
     */
    public static ValidationOutcome validate(long revision, List<DeclaredObject> objects) {
        ConfigurationValidator validator = new ConfigurationValidator();
        validator.check(objects);
        return validator.problems.isEmpty()
                ? new ValidationOutcome.Valid(
                        Configuration.of(
                                revision, objects.stream().map(DeclaredObject::object).toList()))
                : new ValidationOutcome.Invalid(validator.problems);
    }

    private void check(List<DeclaredObject> objects) {
        for (DeclaredObject declared : objects) {
            problems.addAll(ObjectRules.check(declared));
            ObjectName name = declared.object().objectName();
            requireUnique(byName, name, declared, "name", name.toString());
        }
        for (DeclaredObject declared : objects) {
            switch (declared.object()) {
                case Workspace workspace -> checkKeys(declared, workspace);
                case ProgramTemplate program -> checkProgram(declared, program);
                case Target target -> checkTarget(declared, target);
                case Model model -> {}
                case Budget budget -> {}
                case Priority priority -> {}
            }
        }
    }

    /**
     * Rejects a key of two workspaces, which would let one customer access the programs of the
     * other.
     */
    private void checkKeys(DeclaredObject declared, Workspace workspace) {
        for (int i = 0; i < workspace.keySha256().size(); i++) {
            String digest = workspace.keySha256().get(i);
            DeclaredObject other = byKeyDigest.putIfAbsent(digest, declared);
            if (other != null && !other.equals(declared)) {
                problems.add(
                        duplicateProblem(declared, "keySha256[" + i + "]", "key " + digest, other));
            }
        }
    }

    private void checkProgram(DeclaredObject declared, ProgramTemplate program) {
        resolve(declared, "workspace", ObjectKind.WORKSPACE, program.workspace());
        resolve(declared, "budget", ObjectKind.BUDGET, program.budget());
        resolve(declared, "priority", ObjectKind.PRIORITY, program.priority());
        for (int i = 0; i < program.models().size(); i++) {
            resolve(declared, "models[" + i + "]", ObjectKind.MODEL, program.models().get(i));
        }
        for (int i = 0; i < program.services().size(); i++) {
            String path = "services[" + i + "]";
            String name = program.services().get(i);
            DeclaredObject found = resolve(declared, path, ObjectKind.TARGET, name);
            if (found != null
                    && found.object() instanceof Target target
                    && target.kind() != Target.Kind.PLAIN_SERVICE) {
                problems.add(
                        declared.problem(
                                path,
                                "expected a target of type plain-service, but target \""
                                        + name
                                        + "\" is a model-engine"));
            }
        }
    }

    private void checkTarget(DeclaredObject declared, Target target) {
        for (int i = 0; i < target.models().size(); i++) {
            resolve(declared, "models[" + i + "]", ObjectKind.MODEL, target.models().get(i));
        }
        for (int i = 0; i < target.runners().size(); i++) {
            Target.Runner runner = target.runners().get(i);
            String path = "runners[" + i + "].";
            requireUnique(
                    byRunnerName,
                    runner.name(),
                    declared,
                    path + "name",
                    "runner " + runner.name());
            requireUnique(
                    byRunnerAddress,
                    runner.address(),
                    declared,
                    path + "address",
                    "address " + runner.address());
        }
    }

    private DeclaredObject resolve(
            DeclaredObject declared, String path, ObjectKind kind, String name) {
        DeclaredObject found = byName.get(new ObjectName(kind, name));
        if (found == null) {
            problems.add(
                    declared.problem(
                            path,
                            "expected the name of a declared "
                                    + kind
                                    + ", found \""
                                    + name
                                    + "\""));
        }
        return found;
    }

    private <K> void requireUnique(
            Map<K, DeclaredObject> seen,
            K key,
            DeclaredObject declared,
            String path,
            String description) {
        DeclaredObject first = seen.putIfAbsent(key, declared);
        if (first != null) {
            problems.add(duplicateProblem(declared, path, description, first));
        }
    }

    private static Problem duplicateProblem(
            DeclaredObject declared, String path, String description, DeclaredObject first) {
        return declared.problem(
                path,
                description
                        + " is declared already by "
                        + first.problem("", "").object()
                        + " in "
                        + first.source()
                        + (first.index() == Problem.WHOLE_SOURCE ? "" : "[" + first.index() + "]"));
    }
}
