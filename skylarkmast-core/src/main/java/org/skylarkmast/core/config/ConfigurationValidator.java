package org.skylarkmast.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks a set of objects as a whole and lists every problem.
 *
 * <p>References are program to workspace, model, target, budget and priority, and target to model.
 * No kind refers back to one that refers to it, so references cannot form a cycle.
 */
public final class ConfigurationValidator {
    private final List<Problem> problems = new ArrayList<>();
    private final Map<ObjectName, DeclaredObject> byName = new HashMap<>();
    private final Map<String, DeclaredObject> byRunnerName = new HashMap<>();
    private final Map<String, DeclaredObject> byRunnerAddress = new HashMap<>();
    private final Map<String, DeclaredObject> byKeyDigest = new HashMap<>();

    private ConfigurationValidator() {}

    /**
     * Checks {@code objects} as the whole set of {@code revision}.
     *
     * @param revision revision that a valid set is to have
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
            unique(byName, name, declared, "name", name.toString());
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

    /** A key of two workspaces would let one team into the programs of the other. */
    private void checkKeys(DeclaredObject declared, Workspace workspace) {
        for (int i = 0; i < workspace.keySha256().size(); i++) {
            String digest = workspace.keySha256().get(i);
            DeclaredObject other = byKeyDigest.putIfAbsent(digest, declared);
            if (other != null && !other.equals(declared)) {
                problems.add(taken(declared, "keySha256[" + i + "]", "key " + digest, other));
            }
        }
    }

    private void checkProgram(DeclaredObject declared, ProgramTemplate program) {
        refer(declared, "workspace", ObjectKind.WORKSPACE, program.workspace());
        refer(declared, "budget", ObjectKind.BUDGET, program.budget());
        refer(declared, "priority", ObjectKind.PRIORITY, program.priority());
        for (int i = 0; i < program.models().size(); i++) {
            refer(declared, "models[" + i + "]", ObjectKind.MODEL, program.models().get(i));
        }
        for (int i = 0; i < program.services().size(); i++) {
            String path = "services[" + i + "]";
            String name = program.services().get(i);
            DeclaredObject found = refer(declared, path, ObjectKind.TARGET, name);
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
            refer(declared, "models[" + i + "]", ObjectKind.MODEL, target.models().get(i));
        }
        for (int i = 0; i < target.runners().size(); i++) {
            Target.Runner runner = target.runners().get(i);
            String path = "runners[" + i + "].";
            unique(byRunnerName, runner.name(), declared, path + "name", "runner " + runner.name());
            unique(
                    byRunnerAddress,
                    runner.address(),
                    declared,
                    path + "address",
                    "address " + runner.address());
        }
    }

    private DeclaredObject refer(
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

    private <K> void unique(
            Map<K, DeclaredObject> seen,
            K key,
            DeclaredObject declared,
            String path,
            String description) {
        DeclaredObject first = seen.putIfAbsent(key, declared);
        if (first != null) {
            problems.add(taken(declared, path, description, first));
        }
    }

    private static Problem taken(
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
