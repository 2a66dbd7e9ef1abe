package org.skylarkmast.core.engine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.skylarkmast.core.key.ProgramKey;

/**
 * Finds caches that runners hold for programs that no longer exist, for example because the owner
 * was killed before it released them.
 *
 * <p>A cache is reported only if its program is missing in two consecutive checks of a runner. This
 * spares a program that begins between the runner's answer and the lookup. Not thread-safe: owned
 * by the reconciler.
 */
public final class OrphanedCacheDetector {
    private final Map<String, Set<ProgramKey>> goneByRunner = new HashMap<>();

    /**
     * Checks the caches that {@code runner} holds.
     *
     * @return programs whose caches are orphaned and are to be released
     */
    public Set<ProgramKey> findOrphaned(
            String runner, Set<ProgramKey> held, Function<ProgramKey, ProgramLiveness> livenessOf) {
        Set<ProgramKey> gone = new HashSet<>();
        for (ProgramKey program : held) {
            if (livenessOf.apply(program) == ProgramLiveness.GONE) {
                gone.add(program);
            }
        }
        Set<ProgramKey> release = new HashSet<>(gone);
        release.retainAll(goneByRunner.getOrDefault(runner, Set.of()));
        goneByRunner.put(runner, gone);
        return Set.copyOf(release);
    }

    /** Discards the state of a runner that is no longer configured. */
    public void removeRunner(String runner) {
        goneByRunner.remove(runner);
    }
}
