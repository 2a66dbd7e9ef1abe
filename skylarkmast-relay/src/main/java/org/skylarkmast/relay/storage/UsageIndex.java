package org.skylarkmast.relay.storage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkmast.relay.ledger.Usage;

/**
 * The usages of each program, and when attempts without a final count must have ended.
 *
 * <p>Not thread-safe: guarded by the lock of its {@link RecordIndex}.
 */
final class UsageIndex {

    /** The end of an attempt that an earlier release reserved. */
    static final long UNKNOWN_END_MS = Long.MAX_VALUE;

    /**
     * Time after an attempt's time limit in which its settlement may still arrive. Until then its
     * program is told to come again rather than that its budget is spent.
     */
    private static final long SETTLE_MARGIN_MS = 5000;

    private final Map<String, Program> programs = new HashMap<>();

    private static final class Program {
        final Map<String, Usage> usages = new HashMap<>();

        /** Time limits of attempts without a final count, as far as they are known. */
        final Map<String, Long> timeLimitsMs = new HashMap<>();

        /** The segments of the log that hold the usages. */
        final Set<Long> segments = new HashSet<>();

        long expiresAtMs;
    }

    /** Receives the stored usages. */
    @FunctionalInterface
    interface Visitor {

        /** Called for each usage. */
        void onUsage(String program, Usage usage, long timeLimitMs, long expiresAtMs);
    }

    /**
     * Adds a usage. A settled usage replaces an open one, never the reverse.
     *
     * @param timeLimitMs time by which the attempt must have ended, or {@link #UNKNOWN_END_MS}
     * @return whether the usage must be written to the log
     */
    boolean merge(String program, Usage usage, long timeLimitMs, long expiresAtMs) {
        Program stored = programs.computeIfAbsent(program, name -> new Program());
        stored.expiresAtMs = Math.max(stored.expiresAtMs, expiresAtMs);
        Usage before = stored.usages.get(usage.attempt());
        if (usage.settled()) {
            stored.timeLimitsMs.remove(usage.attempt());
        } else if (timeLimitMs != UNKNOWN_END_MS && (before == null || !before.settled())) {
            stored.timeLimitsMs.merge(usage.attempt(), timeLimitMs, Math::max);
        }
        if (before != null && (before.settled() || before.equals(usage))) {
            return !before.settled() && !usage.settled();
        }
        stored.usages.put(usage.attempt(), usage);
        return true;
    }

    /** Records that {@code segment} of the log holds a usage of {@code program}. */
    void addSegment(String program, long segment) {
        Program stored = programs.get(program);
        if (stored != null) {
            stored.segments.add(segment);
        }
    }

    /** Returns the usages of a program. */
    List<Usage> usages(String program) {
        Program found = programs.get(program);
        return found == null ? List.of() : List.copyOf(found.usages.values());
    }

    /** Returns the attempts of a program that must have ended, but have no final count. */
    Set<String> endedAttempts(String program, long nowMs) {
        Set<String> ended = new HashSet<>();
        Program found = programs.get(program);
        if (found != null) {
            found.timeLimitsMs.forEach(
                    (attempt, timeLimitMs) -> {
                        if (timeLimitMs + SETTLE_MARGIN_MS < nowMs) {
                            ended.add(attempt);
                        }
                    });
        }
        return ended;
    }

    /** Passes all usages to {@code visitor}. */
    void forEach(Visitor visitor) {
        programs.forEach(
                (name, program) -> {
                    for (Usage usage : program.usages.values()) {
                        visitor.onUsage(
                                name,
                                usage,
                                program.timeLimitsMs.getOrDefault(usage.attempt(), UNKNOWN_END_MS),
                                program.expiresAtMs);
                    }
                });
    }

    /** Removes programs that have expired. */
    void expire(long nowMs) {
        programs.values().removeIf(program -> program.expiresAtMs < nowMs);
    }

    /** Returns the segments of the log that hold usages. */
    Set<Long> usedSegments() {
        Set<Long> segments = new HashSet<>();
        programs.values().forEach(program -> segments.addAll(program.segments));
        return segments;
    }
}
