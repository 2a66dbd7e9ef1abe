package org.skylarkmast.core.engine;

import java.util.Optional;
import org.skylarkmast.core.key.ProgramKey;

/**
 * Converts between a program and the name under which an engine holds its cache, {@code
 * workspace:id}.
 */
public final class CacheKey {
    private CacheKey() {}

    /** Returns the cache name of {@code program}. */
    public static String of(ProgramKey program) {
        return program.toString();
    }

    /**
     * Returns the program with the cache name {@code name}; empty if this scheduler did not create
     * the name.
     */
    public static Optional<ProgramKey> parse(String name) {
        int colon = name.indexOf(':');
        if (colon <= 0 || colon == name.length() - 1) {
            return Optional.empty();
        }
        return Optional.of(new ProgramKey(name.substring(0, colon), name.substring(colon + 1)));
    }
}
