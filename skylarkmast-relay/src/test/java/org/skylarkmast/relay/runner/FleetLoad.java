package org.skylarkmast.relay.runner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.relay.loadreport.LoadReportAggregator;
import org.skylarkmast.relay.loadreport.RunnerLoadReport;

/**
 * Plays requests of many entry nodes over shared runners on a virtual clock.
 *
 * <p>60 entry nodes; 30 runners of 8 slots and a queue of 24, a third 2.4 times as slow as the
 * others; requests of 60 tokens; from some time on a tenth of the runners fail half of their
 * requests. A runner tells its load with each answer, and entry nodes report once a second.
 */
final class FleetLoad {
    static final double TOKENS = 60;
    static final double SLOW_MS_PER_TOKEN = 4.9;

    private static final int ENTRY_NODES = 60;
    private static final int RUNNERS = 30;
    private static final int SLOTS = 8;
    private static final int QUEUE = 24;
    private static final double FAST_MS_PER_TOKEN = 2;
    private static final double FAILURE_COST_MS = 4000;
    private static final int FAILING = 3;
    private static final double FAILING_SHARE = 0.5;
    private static final double REPORT_MS = 1000;
    private static final double FAILS_AFTER_MS = 20;
    private static final double WARM_UP_MS = 8_000;
    private static final double END_MS = 24_000;

    private final Random random;
    private final double gapMs;
    private final double failFromMs;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));
    private final List<EngineModel> engines = new ArrayList<>();
    private final List<RunnerPool> pools = new ArrayList<>();
    private final RunnerDirectory directory = new RunnerDirectory();
    private final LoadReportAggregator book = new LoadReportAggregator(this::nowNs);
    private double nowMs;
    private double sumMs;
    private double sumWaitMs;
    private int answered;
    private int slow;
    private int failures;
    private int refused;

    private record Event(double atMs, Runnable action) {}

    private record Job(RunnerPool pool, double arrivedMs) {}

    /**
     * What callers got after the warm-up.
     *
     * @param meanMs time of the answered requests
     * @param meanWaitMs part of it spent in runners' queues
     * @param slowShare part that slow runners answered
     */
    record Outcome(double meanMs, double meanWaitMs, double slowShare, int failures, int refused) {}

    /** One runner: slots, a queue, and a speed. */
    private final class EngineModel {
        final int index;
        final Runner runner;
        final Queue<Job> queue = new ArrayDeque<>();
        int running;

        EngineModel(int index) {
            this.index = index;
            runner = new Runner("r" + index, "s", "10.0.0.1:" + (index + 1), "z", SLOTS, false, 1);
        }

        boolean isSlow() {
            return index % 3 == 2;
        }

        void arrive(Job job) {
            if (running < SLOTS) {
                begin(job);
            } else if (queue.size() < QUEUE) {
                queue.add(job);
            } else {
                refused++;
                job.pool().ended(runner);
                job.pool().full(runner);
            }
        }

        private void begin(Job job) {
            running++;
            double waitMs = nowMs - job.arrivedMs();
            boolean failing = index < FAILING && nowMs >= failFromMs;
            boolean ok = !failing || random.nextDouble() >= FAILING_SHARE;
            double perTokenMs = isSlow() ? SLOW_MS_PER_TOKEN : FAST_MS_PER_TOKEN;
            double tookMs = ok ? TOKENS * perTokenMs : FAILS_AFTER_MS;
            after(tookMs, () -> end(job, waitMs, ok));
        }

        private void end(Job job, double waitMs, boolean ok) {
            running--;
            double tookMs = nowMs - job.arrivedMs();
            job.pool().ended(runner);
            if (ok) {
                job.pool().reported(runner, new RunnerLoad(running, queue.size(), SLOTS));
                job.pool().succeeded(runner, (long) (tookMs * 1e6), TOKENS, List.of());
            } else {
                job.pool().failed(runner);
            }
            if (nowMs > WARM_UP_MS) {
                sumMs += ok ? tookMs : 0;
                sumWaitMs += ok ? waitMs : 0;
                answered += ok ? 1 : 0;
                slow += ok && isSlow() ? 1 : 0;
                failures += ok ? 0 : 1;
            }
            if (!queue.isEmpty()) {
                begin(queue.remove());
            }
        }
    }

    /**
     * @param told whether entry nodes report what they see and are told what all saw
     * @param failFromMs when some runners begin to fail
     */
    FleetLoad(long seed, double perS, boolean told, double failFromMs) {
        this.random = new Random(seed);
        this.gapMs = 1000 / perS;
        this.failFromMs = failFromMs;
        for (int i = 0; i < RUNNERS; i++) {
            engines.add(new EngineModel(i));
            directory.put(engines.get(i).runner);
        }
        for (int i = 0; i < ENTRY_NODES; i++) {
            RunnerChooser chooser = new RunnerChooser("z", random::nextDouble);
            pools.add(new RunnerPool(directory, chooser, this::nowNs));
            int node = i;
            if (told) {
                after(REPORT_MS * random.nextDouble(), () -> report(node));
            }
        }
        after(gapMs, this::request);
    }

    Outcome play() {
        while (!events.isEmpty()) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        return new Outcome(
                sumMs / answered,
                sumWaitMs / answered,
                (double) slow / answered,
                failures,
                refused);
    }

    private void request() {
        RunnerPool pool = pools.get(random.nextInt(ENTRY_NODES));
        Runner runner = pool.choose("s", TOKENS, List.of(), FAILURE_COST_MS, Set.of());
        pool.started(runner);
        engines.stream()
                .filter(engine -> engine.runner.equals(runner))
                .findFirst()
                .orElseThrow()
                .arrive(new Job(pool, nowMs));
        if (nowMs < END_MS) {
            after(-Math.log(1 - random.nextDouble()) * gapMs, this::request);
        }
    }

    private void report(int node) {
        List<RunnerLoadReport> seen = pools.get(node).takeSeen();
        book.report("n" + node, seen);
        pools.get(node).learned(book.fleetTotals(), seen);
        if (nowMs < END_MS) {
            after(REPORT_MS, () -> report(node));
        }
    }

    private void after(double ms, Runnable action) {
        events.add(new Event(nowMs + ms, action));
    }

    private long nowNs() {
        return TimeUnit.MICROSECONDS.toNanos((long) (nowMs * 1000));
    }
}
