package org.skylarkmast.core.engine;

import java.util.Optional;
import org.skylarkmast.core.key.ProgramKey;

/** The name under which an engine holds a program's cache, {@code workspace:id}. */
public final class CacheKey {
    private CacheKey() {}

    /** The name of {@code program}. */
    public static String of(ProgramKey program) {
        return program.toString();
    }

    /** The program that {@code name} stands for; empty if it is none of ours. */
    public static Optional<ProgramKey> parse(String name) {
        int colon = name.indexOf(':');
        if (colon <= 0 || colon == name.length() - 1) {
            return Optional.empty();
        }
        return Optional.of(new ProgramKey(name.substring(0, colon), name.substring(colon + 1)));
    }
}
