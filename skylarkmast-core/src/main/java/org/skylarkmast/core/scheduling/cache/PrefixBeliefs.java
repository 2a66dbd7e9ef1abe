package org.skylarkmast.core.scheduling.cache;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.key.ProgramKey;

/**
 * Prefix tokens that each engine is believed to hold for each program.
 *
 * <p>A belief comes from an answer's count or a cache event and decays with time, since evictions
 * may go unreported. Not thread-safe: owned by the scheduler's event loop.
 */
public final class PrefixBeliefs {
    private static final double CERTAINTY_AFTER_GAP = 0.8;

    private final double halfLifeNs;
    private final Map<ProgramKey, List<Holding>> holdings = new HashMap<>();
    private final Map<String, EventGap> gaps = new HashMap<>();

    private static final class Holding {
        private final String runner;
        private int tokens;
        private long seenAtNs;

        private Holding(String runner, int tokens, long seenAtNs) {
            this.runner = runner;
            this.tokens = tokens;
            this.seenAtNs = seenAtNs;
        }
    }

    private record EventGap(long lastSequence, long atNs) {}

    /**
     * Starts with no beliefs.
     *
     * @param halfLifeNs time after which half of an unconfirmed belief is left, in nanoseconds
     */
    public PrefixBeliefs(double halfLifeNs) {
        this.halfLifeNs = halfLifeNs;
    }

    /**
     * Notes the sequence of a runner's cache event; after a gap, beliefs older than it count less,
     * since an eviction may have been missed.
     */
    public void onEventSequence(String runner, long sequence, long nowNs) {
        EventGap before = gaps.get(runner);
        boolean gap = before != null && sequence > before.lastSequence() + 1;
        long gapAtNs = gap ? nowNs : before == null ? Long.MIN_VALUE : before.atNs();
        gaps.put(runner, new EventGap(sequence, gapAtNs));
    }

    /** Notes that {@code runner} holds {@code tokens} of the program's prefix. */
    public void observe(ProgramKey program, String runner, int tokens, long nowNs) {
        List<Holding> held = holdings.computeIfAbsent(program, key -> new ArrayList<>(1));
        for (Holding holding : held) {
            if (holding.runner.equals(runner)) {
                holding.tokens = tokens;
                holding.seenAtNs = nowNs;
                return;
            }
        }
        held.add(new Holding(runner, tokens, nowNs));
    }

    /** Whether anything is known of the program. */
    public boolean knows(ProgramKey program) {
        return holdings.containsKey(program);
    }

    /** Prefix tokens expected to be found at {@code runner}. */
    public double expectedTokens(ProgramKey program, String runner, long nowNs) {
        List<Holding> held = holdings.get(program);
        if (held == null) {
            return 0;
        }
        for (Holding holding : held) {
            if (holding.runner.equals(runner)) {
                return holding.tokens * certainty(holding, nowNs);
            }
        }
        return 0;
    }

    private double certainty(Holding holding, long nowNs) {
        double byAge = Math.pow(0.5, (nowNs - holding.seenAtNs) / halfLifeNs);
        EventGap gap = gaps.get(holding.runner);
        boolean beforeGap = gap != null && gap.atNs() > holding.seenAtNs;
        return Double.isInfinite(halfLifeNs) || !beforeGap ? byAge : byAge * CERTAINTY_AFTER_GAP;
    }

    /** Runners that were ever noted for the program and may hold something. */
    public List<String> holders(ProgramKey program) {
        List<Holding> held = holdings.get(program);
        if (held == null) {
            return List.of();
        }
        List<String> runners = new ArrayList<>(held.size());
        for (Holding holding : held) {
            runners.add(holding.runner);
        }
        return runners;
    }

    /** Forgets the program. */
    public void forget(ProgramKey program) {
        holdings.remove(program);
    }

    /** Takes all that is believed of a runner as gone. */
    public void clearRunner(String runner) {
        gaps.remove(runner);
        for (List<Holding> held : holdings.values()) {
            held.removeIf(holding -> holding.runner.equals(runner));
        }
    }
}
