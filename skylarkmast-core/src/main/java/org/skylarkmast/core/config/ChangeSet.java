package org.skylarkmast.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A change of one or more objects that takes effect atomically.
 *
 * @param apply objects to add; each replaces an existing object of the same kind and name
 * @param delete objects to remove; each must exist
 */
public record ChangeSet(List<DeclaredObject> apply, List<ObjectName> delete) {

    /** {@link Problem#source} for the list of objects to delete. */
    private static final String DELETE_SOURCE = "delete";

    public ChangeSet {
        apply = List.copyOf(apply);
        delete = List.copyOf(delete);
    }

    /** Applies the change to {@code base} and validates the resulting configuration. */
    public ValidationOutcome applyTo(Configuration base) {
        List<Problem> problems = new ArrayList<>();
        Set<ObjectName> replacedOrDeleted = new TreeSet<>();
        apply.forEach(declared -> replacedOrDeleted.add(declared.object().objectName()));
        Set<ObjectName> existing = new TreeSet<>();
        base.objects().forEach(object -> existing.add(object.objectName()));
        for (int i = 0; i < delete.size(); i++) {
            ObjectName name = delete.get(i);
            if (!existing.contains(name)) {
                problems.add(deleteProblem(i, name, "expected an object that exists"));
            }
            if (!replacedOrDeleted.add(name)) {
                problems.add(deleteProblem(i, name, "expected each object once in a change"));
            }
        }
        List<DeclaredObject> objects = new ArrayList<>(apply);
        for (ConfigurationObject object : base.objects()) {
            if (!replacedOrDeleted.contains(object.objectName())) {
                objects.add(DeclaredObject.inForce(object));
            }
        }
        ValidationOutcome outcome = ConfigurationValidator.validate(base.revision() + 1, objects);
        if (problems.isEmpty()) {
            return outcome;
        }
        if (outcome instanceof ValidationOutcome.Invalid invalid) {
            problems.addAll(invalid.problems());
        }
        return new ValidationOutcome.Invalid(problems);
    }

    private static Problem deleteProblem(int index, ObjectName name, String message) {
        return new Problem(DELETE_SOURCE, index, name.toString(), "", message);
    }
}
