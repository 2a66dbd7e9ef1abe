package org.skylarkmast.core.config;

/** An object that operators declare. */
public sealed interface ConfigurationObject
        permits Workspace, ProgramTemplate, Target, Model, Budget, Priority {

    /** The name of the object, unique within its kind. */
    String name();

    /** The kind and name of the object. */
    default ObjectName objectName() {
        return new ObjectName(objectKind(), name());
    }

    /** The kind of the object. */
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
