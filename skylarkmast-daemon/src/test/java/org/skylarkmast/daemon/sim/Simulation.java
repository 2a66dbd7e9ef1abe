package org.skylarkmast.daemon.sim;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.Executor;
import org.skylarkmast.daemon.loop.EventLoop;

/**
 * Runs the event loops and blocking calls of several nodes on a virtual clock; deterministic for a
 * given seed.
 */
public final class Simulation {
    private static final long NS_PER_MS = 1_000_000L;

    private final Random random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atNs).thenComparing(Task::number));
    private final Map<String, Long> pausedUntilNs = new HashMap<>();

    private long nowNs;
    private long nextTaskNumber;
    private long maxLatencyNs = 2 * NS_PER_MS;
    private boolean inBlockingCall;

    private record Task(long atNs, long number, String node, Runnable work) {}

    public Simulation(long seed) {
        random = new Random(seed);
    }

    public long nowNs() {
        return nowNs;
    }

    public Random random() {
        return random;
    }

    /** Sets the maximum latency of a request to the store, and of its answer. */
    public void setMaxLatencyMs(long latencyMs) {
        maxLatencyNs = latencyMs * NS_PER_MS;
    }

    /** Delays the event-loop tasks of {@code node} until the pause is over. */
    public void pause(String node, long pauseMs) {
        pausedUntilNs.merge(node, nowNs + pauseMs * NS_PER_MS, Math::max);
    }

    /** Whether {@code node} is paused now. */
    public boolean paused(String node) {
        return pausedUntilNs.getOrDefault(node, 0L) > nowNs;
    }

    public void schedule(long delayMs, Runnable work) {
        scheduleAt(nowNs + delayMs * NS_PER_MS, "", work);
    }

    public EventLoop loop(String node) {
        return new EventLoop() {
            @Override
            public void execute(Runnable task) {
                scheduleAt(inBlockingCall ? nowNs + latencyNs() : nowNs, node, task);
            }

            @Override
            public void schedule(Runnable task, long delayNs) {
                scheduleAt(nowNs + delayNs, node, task);
            }
        };
    }

    /** Runs each call after a random latency; event-loop tasks that it posts have one, too. */
    public Executor blocking() {
        return call ->
                scheduleAt(
                        nowNs + latencyNs(),
                        "",
                        () -> {
                            inBlockingCall = true;
                            try {
                                call.run();
                            } finally {
                                inBlockingCall = false;
                            }
                        });
    }

    public long latencyNs() {
        return random.nextLong(maxLatencyNs + 1);
    }

    /** Runs the tasks that are due within the next {@code ms} milliseconds. */
    public void runMs(long ms) {
        long untilNs = nowNs + ms * NS_PER_MS;
        while (!tasks.isEmpty() && tasks.peek().atNs() <= untilNs) {
            Task task = tasks.poll();
            nowNs = Math.max(nowNs, task.atNs());
            long resumeNs = pausedUntilNs.getOrDefault(task.node(), 0L);
            if (resumeNs > nowNs) {
                tasks.add(new Task(resumeNs, task.number(), task.node(), task.work()));
            } else {
                task.work().run();
            }
        }
        nowNs = untilNs;
    }

    /** Schedules {@code work} at {@code atNs}; tasks due at the same time run in this order. */
    public void scheduleAt(long atNs, String node, Runnable work) {
        tasks.add(new Task(Math.max(atNs, nowNs), nextTaskNumber++, node, work));
    }
}
