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

    private final String word;

    ObjectKind(String word) {
        this.word = word;
    }

    /** How the kind is written in JSON and on the command line. */
    public String word() {
        return word;
    }

    /** The kind written as {@code word}. */
    public static Optional<ObjectKind> ofWord(String word) {
        return Arrays.stream(values()).filter(kind -> kind.word.equals(word)).findFirst();
    }

    @Override
    public String toString() {
        return word;
    }
}
