package org.skylarkmast.core.config;

/** One object that operators declare. */
public sealed interface ConfigurationObject
        permits Workspace, ProgramTemplate, Target, Model, Budget, Priority {

    /** Its name, unique within its kind. */
    String name();

    /** Its kind and name. */
    default ObjectName objectName() {
        return new ObjectName(objectKind(), name());
    }

    /** Its kind. */
    default ObjectKind objectKind() {
        return switch (this) {
            case Workspace workspace -> ObjectKind.WORKSPACE;
            case ProgramTemplate program -> ObjectKind.PROGRAM;
            case Target target -> ObjectKind.TARGET;
            case Model model -> ObjectKind.MODEL;
            case Budget budget -> ObjectKind.BUDGET;
            case Priority priority -> ObjectKind.PRIORITY;
        };
    }
}
