package org.skylarkmast.core.engine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.skylarkmast.core.key.ProgramKey;

/**
 * Finds caches held for programs that are gone, such as those whose owner was killed before it
 * released them.
 *
 * <p>A program must be found gone in two reviews of a runner in a row, so that one that begins
 * between the runner's answer and the lookup is left alone. Not thread-safe: owned by the
 * reconciler.
 */
public final class HeldProgramReview {
    private final Map<String, Set<ProgramKey>> goneByRunner = new HashMap<>();

    /**
     * Reviews what {@code runner} holds.
     *
     * @return programs whose cache is to be released
     */
    public Set<ProgramKey> review(
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

    /** Forgets a runner that is no longer configured. */
    public void forget(String runner) {
        goneByRunner.remove(runner);
    }
}
