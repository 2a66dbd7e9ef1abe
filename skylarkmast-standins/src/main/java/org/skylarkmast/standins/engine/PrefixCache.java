package org.skylarkmast.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** A prefix cache with one prompt per program and LRU eviction. Thread-safe. */
final class PrefixCache {
    private final long capacityTokens;
    private final Consumer<CacheChange> changeListener;
    private final Map<String, int[]> tokensByProgram = new LinkedHashMap<>(16, 0.75f, true);

    private long usedTokens;

    /**
     * @param changeListener called with each change while the lock is cached, so it must only
     *     enqueue
     */
    PrefixCache(long capacityTokens, Consumer<CacheChange> changeListener) {
        this.capacityTokens = capacityTokens;
        this.changeListener = changeListener;
    }

    /** Returns how many leading tokens of {@code prompt} are cached for {@code program}. */
    synchronized int matchedTokens(String program, int[] prompt) {
        int[] cached = tokensByProgram.get(program);
        if (cached == null) {
            return 0;
        }
        int common = 0;
        while (common < cached.length
                && common < prompt.length
                && cached[common] == prompt[common]) {
            common++;
        }
        return common;
    }

    /**
     * Caches {@code tokens} for {@code program} in place of its previous entry. Has no effect if
     * they exceed the capacity.
     */
    synchronized void store(String program, int[] tokens) {
        if (tokens.length > capacityTokens) {
            return;
        }
        int[] previous = tokensByProgram.put(program, tokens);
        usedTokens += tokens.length - (previous == null ? 0 : previous.length);
        Iterator<Map.Entry<String, int[]>> eldest = tokensByProgram.entrySet().iterator();
        while (usedTokens > capacityTokens) {
            Map.Entry<String, int[]> evicted = eldest.next();
            eldest.remove();
            usedTokens -= evicted.getValue().length;
            changeListener.accept(new CacheChange(evicted.getKey(), 0));
        }
        changeListener.accept(new CacheChange(program, tokens.length));
    }

    /** Removes the entry of {@code program}. */
    synchronized void remove(String program) {
        int[] cached = tokensByProgram.remove(program);
        if (cached != null) {
            usedTokens -= cached.length;
            changeListener.accept(new CacheChange(program, 0));
        }
    }

    /** Removes all entries and reports each as a change. */
    synchronized void clear() {
        List.copyOf(tokensByProgram.keySet()).forEach(this::remove);
    }

    /** Returns the tokens cached for {@code program}. */
    synchronized Optional<int[]> tokens(String program) {
        return Optional.ofNullable(tokensByProgram.get(program)).map(int[]::clone);
    }

    /** Returns the number of cached tokens by program. */
    synchronized Map<String, Integer> tokenCounts() {
        Map<String, Integer> counts = new LinkedHashMap<>();
        tokensByProgram.forEach((program, tokens) -> counts.put(program, tokens.length));
        return counts;
    }

    synchronized long usedTokens() {
        return usedTokens;
    }

    long capacityTokens() {
        return capacityTokens;
    }
}
