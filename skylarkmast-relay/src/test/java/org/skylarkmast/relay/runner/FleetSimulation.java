package org.skylarkmast.relay.runner;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.relay.loadreport.EntryNodeReport;
import org.skylarkmast.relay.loadreport.LoadReportAggregator;
import org.skylarkmast.relay.loadreport.RunnerLoadReport;
import org.skylarkmast.relay.quarantine.QuarantineReport;

/**
 * Simulates many entry nodes that send requests to shared runners, on a virtual clock.
 *
 * <p>There are 60 entry nodes and 30 runners with 8 slots and a queue of 24 each; a third of the
 * runners is 2.4 times as slow as the others. Requests generate 60 tokens. From a given time on, a
 * tenth of the runners fails half of its requests. A runner reports its load with each answer, and
 * entry nodes send a load report once a second.
 */
final class FleetSimulation {
    static final double TOKENS = 60;
    static final double SLOW_MS_PER_TOKEN = 4.9;

    private static final int ENTRY_NODES = 60;
    private static final int RUNNERS = 30;
    private static final int SLOTS = 8;
    private static final int QUEUE_CAPACITY = 24;
    private static final double FAST_MS_PER_TOKEN = 2;
    private static final double FAILURE_COST_MS = 4000;
    private static final int FAILING_RUNNERS = 3;
    private static final double FAILURE_RATE = 0.5;
    private static final double REPORT_INTERVAL_MS = 1000;
    private static final double FAILURE_DELAY_MS = 20;
    private static final double WARM_UP_MS = 8_000;
    private static final double END_MS = 24_000;

    private final Random random;
    private final double meanIntervalMs;
    private final double failuresStartMs;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));
    private final List<SimulatedRunner> simulatedRunners = new ArrayList<>();
    private final List<RunnerPool> pools = new ArrayList<>();
    private final RunnerDirectory directory =
            new RunnerDirectory(System::nanoTime, new PrometheusRegistry());
    private final LoadReportAggregator aggregator =
            new LoadReportAggregator(this::nowNs, new Random(1));
    private double nowMs;
    private double sumMs;
    private double sumWaitMs;
    private int answered;
    private int answeredBySlow;
    private int failures;
    private int refused;

    private record Event(double atMs, Runnable action) {}

    private record Job(RunnerPool pool, double arrivedMs) {}

    /**
     * The results, which cover requests that ended after the warm-up; refused requests are counted
     * from the start.
     *
     * @param meanMs mean duration of the answered requests
     * @param meanWaitMs mean time that these spent in runners' queues
     * @param slowFraction fraction of these that slow runners answered
     */
    record Outcome(
            double meanMs, double meanWaitMs, double slowFraction, int failures, int refused) {}

    /** One runner with its slots, queue and speed. */
    private final class SimulatedRunner {
        final int index;
        final Runner runner;
        final Queue<Job> queue = new ArrayDeque<>();
        int running;

        SimulatedRunner(int index) {
            this.index = index;
            runner =
                    new Runner(
                            "r" + index,
                            "s",
                            "10.0.0.1:" + (index + 1),
                            "z",
                            SLOTS,
                            "v1",
                            false,
                            1);
        }

        boolean isSlow() {
            return index % 3 == 2;
        }

        void arrive(Job job) {
            if (running < SLOTS) {
                begin(job);
            } else if (queue.size() < QUEUE_CAPACITY) {
                queue.add(job);
            } else {
                refused++;
                job.pool().recordEnd(runner);
                job.pool().recordOverload(runner);
            }
        }

        private void begin(Job job) {
            running++;
            double waitMs = nowMs - job.arrivedMs();
            boolean failing = index < FAILING_RUNNERS && nowMs >= failuresStartMs;
            boolean succeeds = !failing || random.nextDouble() >= FAILURE_RATE;
            double perTokenMs = isSlow() ? SLOW_MS_PER_TOKEN : FAST_MS_PER_TOKEN;
            double tookMs = succeeds ? TOKENS * perTokenMs : FAILURE_DELAY_MS;
            schedule(tookMs, () -> end(job, waitMs, succeeds));
        }

        private void end(Job job, double waitMs, boolean succeeds) {
            running--;
            double tookMs = nowMs - job.arrivedMs();
            job.pool().recordEnd(runner);
            if (succeeds) {
                job.pool().recordLoad(runner, new RunnerLoad(running, queue.size(), SLOTS));
                job.pool().recordSuccess(runner, (long) (tookMs * 1e6), TOKENS, List.of());
            } else {
                job.pool().recordFailure(runner);
            }
            if (nowMs > WARM_UP_MS) {
                sumMs += succeeds ? tookMs : 0;
                sumWaitMs += succeeds ? waitMs : 0;
                answered += succeeds ? 1 : 0;
                answeredBySlow += succeeds && isSlow() ? 1 : 0;
                failures += succeeds ? 0 : 1;
            }
            if (!queue.isEmpty()) {
                begin(queue.remove());
            }
        }
    }

    /**
     * @param requestsPerS mean rate of requests from all entry nodes
     * @param sharesReports whether entry nodes send load reports and receive the sums of all
     * @param failuresStartMs virtual time from which some runners fail requests
     */
    FleetSimulation(long seed, double requestsPerS, boolean sharesReports, double failuresStartMs) {
        this.random = new Random(seed);
        this.meanIntervalMs = 1000 / requestsPerS;
        this.failuresStartMs = failuresStartMs;
        for (int i = 0; i < RUNNERS; i++) {
            simulatedRunners.add(new SimulatedRunner(i));
            directory.put(simulatedRunners.get(i).runner);
        }
        for (int i = 0; i < ENTRY_NODES; i++) {
            RunnerChooser chooser = new RunnerChooser("z", random::nextDouble);
            pools.add(new RunnerPool(directory, chooser, runner -> 0, this::nowNs));
            int node = i;
            if (sharesReports) {
                schedule(REPORT_INTERVAL_MS * random.nextDouble(), () -> report(node));
            }
        }
        schedule(meanIntervalMs, this::request);
    }

    Outcome run() {
        while (!events.isEmpty()) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        return new Outcome(
                sumMs / answered,
                sumWaitMs / answered,
                (double) answeredBySlow / answered,
                failures,
                refused);
    }

    private void request() {
        RunnerPool pool = pools.get(random.nextInt(ENTRY_NODES));
        Runner runner = pool.choose("s", TOKENS, List.of(), FAILURE_COST_MS, _ -> true);
        pool.recordStart(runner);
        simulatedRunners.stream()
                .filter(simulated -> simulated.runner.equals(runner))
                .findFirst()
                .orElseThrow()
                .arrive(new Job(pool, nowMs));
        if (nowMs < END_MS) {
            schedule(-Math.log(1 - random.nextDouble()) * meanIntervalMs, this::request);
        }
    }

    private void report(int node) {
        List<RunnerLoadReport> loadReports = pools.get(node).drainLoadReports();
        aggregator.report(
                new EntryNodeReport(
                        "n" + node, loadReports, List.of(), "", QuarantineReport.EMPTY));
        pools.get(node).applyFleetReports(aggregator.fleetTotals().runners(), loadReports);
        if (nowMs < END_MS) {
            schedule(REPORT_INTERVAL_MS, () -> report(node));
        }
    }

    private void schedule(double ms, Runnable action) {
        events.add(new Event(nowMs + ms, action));
    }

    private long nowNs() {
        return TimeUnit.MICROSECONDS.toNanos((long) (nowMs * 1000));
    }
}
