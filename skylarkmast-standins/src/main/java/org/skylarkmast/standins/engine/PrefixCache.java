package org.skylarkmast.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Prompts held for programs, the least recently used evicted first; thread-safe. */
final class PrefixCache {
    private final long capacityTokens;
    private final Consumer<CacheChange> changes;
    private final Map<String, int[]> tokensByProgram = new LinkedHashMap<>(16, 0.75f, true);

    private long usedTokens;

    /**
     * @param changes called inside the lock, so it must only enqueue
     */
    PrefixCache(long capacityTokens, Consumer<CacheChange> changes) {
        this.capacityTokens = capacityTokens;
        this.changes = changes;
    }

    /** Leading tokens of {@code prompt} that are held for {@code program}. */
    synchronized int match(String program, int[] prompt) {
        int[] held = tokensByProgram.get(program);
        if (held == null) {
            return 0;
        }
        int common = 0;
        while (common < held.length && common < prompt.length && held[common] == prompt[common]) {
            common++;
        }
        return common;
    }

    /** Holds {@code tokens} for {@code program} in place of what was held before. */
    synchronized void store(String program, int[] tokens) {
        if (tokens.length > capacityTokens) {
            return;
        }
        int[] before = tokensByProgram.put(program, tokens);
        usedTokens += tokens.length - (before == null ? 0 : before.length);
        Iterator<Map.Entry<String, int[]>> eldest = tokensByProgram.entrySet().iterator();
        while (usedTokens > capacityTokens) {
            Map.Entry<String, int[]> evicted = eldest.next();
            eldest.remove();
            usedTokens -= evicted.getValue().length;
            changes.accept(new CacheChange(evicted.getKey(), 0));
        }
        changes.accept(new CacheChange(program, tokens.length));
    }

    /** Drops what is held for {@code program}. */
    synchronized void drop(String program) {
        int[] held = tokensByProgram.remove(program);
        if (held != null) {
            usedTokens -= held.length;
            changes.accept(new CacheChange(program, 0));
        }
    }

    /** Drops everything, telling of each program. */
    synchronized void clear() {
        List.copyOf(tokensByProgram.keySet()).forEach(this::drop);
    }

    /** What is held for {@code program}. */
    synchronized Optional<int[]> tokens(String program) {
        return Optional.ofNullable(tokensByProgram.get(program)).map(int[]::clone);
    }

    /** Tokens held, by program. */
    synchronized Map<String, Integer> held() {
        Map<String, Integer> held = new LinkedHashMap<>();
        tokensByProgram.forEach((program, tokens) -> held.put(program, tokens.length));
        return held;
    }

    synchronized long usedTokens() {
        return usedTokens;
    }

    long capacityTokens() {
        return capacityTokens;
    }
}
