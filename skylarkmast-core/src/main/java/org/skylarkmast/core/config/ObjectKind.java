package org.skylarkmast.core.config;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of object that operators declare. */
public enum ObjectKind {
    /** A {@link Workspace}. */
    WORKSPACE("workspace"),
    /** A {@link ProgramTemplate}. */
    PROGRAM("program"),
    /** A {@link Target}. */
    TARGET("target"),
    /** A {@link Model}. */
    MODEL("model"),
    /** A {@link Budget}. */
    BUDGET("budget"),
    /** A {@link Priority}. */
    PRIORITY("priority");

    private final String wireName;

    ObjectKind(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name of the kind in JSON and on the command line. */
    public String wireName() {
        return wireName;
    }

    /** Returns the kind with the given wire name, if there is one. */
    public static Optional<ObjectKind> fromWireName(String wireName) {
        return Arrays.stream(values()).filter(kind -> kind.wireName.equals(wireName)).findFirst();
    }

    @Override
    public String toString() {
        return wireName;
    }
}
