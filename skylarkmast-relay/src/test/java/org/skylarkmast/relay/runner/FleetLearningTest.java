package org.skylarkmast.relay.runner;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.relay.tally.TallyBook;

/**
 * What callers get where many entry nodes share runners of uneven speed, of which some fail.
 *
 * <p>The load: 60 entry nodes, 30 runners of which a third are 2.4 times as slow, 80 requests a
 * second of 60 tokens; for some seconds a tenth of the runners fail half of their requests.
 */
class FleetLearningTest {
    private static final int ENTRY_NODES = 60;
    private static final int RUNNERS = 30;
    private static final int SLOTS = 8;
    private static final double TOKENS = 60;
    private static final double FAST_MS_PER_TOKEN = 2;
    private static final double SLOW_MS_PER_TOKEN = 4.9;
    private static final double GAP_MS = 1000.0 / 80;
    private static final double FAILURE_COST_MS = 4000;
    private static final int FAILING = 3;
    private static final double FAILING_SHARE = 0.5;
    private static final long REPORT_MS = 1000;

    private final Map<String, Integer> held = new HashMap<>();
    private final Map<String, Integer> mostHeld = new HashMap<>();
    private double nowMs;

    private record Done(double atMs, RunnerPool pool, Runner runner, double tookMs, boolean ok) {}

    /** Mean time of the answered requests, and how many failed. */
    private record Outcome(double meanMs, int failures) {}

    private static double msPerToken(int runner) {
        return runner % 3 == 2 ? SLOW_MS_PER_TOKEN : FAST_MS_PER_TOKEN;
    }

    private Outcome play(long seed, boolean told, double failFromMs) {
        held.clear();
        nowMs = 0;
        Random random = new Random(seed);
        RunnerDirectory directory = new RunnerDirectory();
        List<Runner> runners = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            Runner runner = new Runner("r" + i, "s", "10.0.0.1:" + (i + 1), "z", SLOTS, false, 1);
            runners.add(runner);
            directory.put(runner);
        }
        TallyBook book = new TallyBook(this::nowNs);
        List<RunnerPool> pools = new ArrayList<>();
        for (int i = 0; i < ENTRY_NODES; i++) {
            RunnerChooser chooser = new RunnerChooser("z", random::nextDouble);
            pools.add(new RunnerPool(directory, chooser, this::nowNs));
        }
        PriorityQueue<Done> ends =
                new PriorityQueue<>((a, b) -> Double.compare(a.atMs(), b.atMs()));
        double nextReportMs = REPORT_MS;
        double sumMs = 0;
        int answered = 0;
        int failures = 0;
        for (double atMs = 0; atMs < 24_000; atMs += GAP_MS) {
            while (!ends.isEmpty() && ends.peek().atMs() <= atMs) {
                finish(ends.poll());
            }
            nowMs = atMs;
            if (told && atMs >= nextReportMs) {
                nextReportMs += REPORT_MS;
                report(pools, book);
            }
            RunnerPool pool = pools.get(random.nextInt(ENTRY_NODES));
            Runner runner = pool.choose("s", TOKENS, List.of(), FAILURE_COST_MS, Set.of());
            int index = runners.indexOf(runner);
            boolean failing = index < FAILING && atMs >= failFromMs;
            boolean ok = !failing || random.nextDouble() >= FAILING_SHARE;
            int load = held.merge(runner.id(), 1, Integer::sum);
            mostHeld.merge(runner.id(), load, Math::max);
            double tookMs = TOKENS * msPerToken(index) * Math.max(1, (double) load / SLOTS);
            pool.started(runner);
            ends.add(new Done(atMs + (ok ? tookMs : 20), pool, runner, tookMs, ok));
            if (atMs > 8_000) {
                sumMs += ok ? tookMs : 0;
                answered += ok ? 1 : 0;
                failures += ok ? 0 : 1;
            }
        }
        return new Outcome(sumMs / answered, failures);
    }

    private void finish(Done done) {
        nowMs = done.atMs();
        held.merge(done.runner().id(), -1, Integer::sum);
        done.pool().ended(done.runner());
        if (done.ok()) {
            done.pool().succeeded(done.runner(), (long) (done.tookMs() * 1e6), TOKENS, List.of());
        } else {
            done.pool().failed(done.runner());
        }
    }

    private static void report(List<RunnerPool> pools, TallyBook book) {
        for (int i = 0; i < pools.size(); i++) {
            var seen = pools.get(i).takeSeen();
            book.report("n" + i, seen);
            pools.get(i).learned(book.all(), seen);
        }
    }

    private long nowNs() {
        return TimeUnit.MICROSECONDS.toNanos((long) (nowMs * 1000));
    }

    /** The fastest that the fleet could be is all requests on fast runners. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {11, 23, 37, 59, 83})
    void callersGetTheFastRunners(long seed) {
        Outcome alone = play(seed, false, Double.MAX_VALUE);
        Outcome together = play(seed, true, Double.MAX_VALUE);
        assertThat(together.meanMs()).isLessThan(TOKENS * FAST_MS_PER_TOKEN * 1.15);
        assertThat(together.meanMs()).isLessThan(alone.meanMs());
    }

    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {11, 23, 37, 59, 83})
    void noRunnerIsOverrunThoughAllKnowWhichIsBest(long seed) {
        play(seed, true, Double.MAX_VALUE);
        mostHeld.values().forEach(most -> assertThat(most).isAtMost(SLOTS));
    }

    /** Half as many callers may meet a failing runner as would without word from each other. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {11, 23, 37, 59, 83})
    void fewCallersMeetAFailingRunner(long seed) {
        Outcome alone = play(seed, false, 8_000);
        Outcome together = play(seed, true, 8_000);
        assertThat(together.failures()).isAtMost(alone.failures() / 2);
    }
}
