package org.skylarkmast.bench.decision;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in order of virtual time; tasks due at the same time run in scheduling order. */
final class VirtualClock {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::dueNs).thenComparingLong(Task::sequence));

    private long nowNs;
    private long nextSequence;

    private record Task(long dueNs, long sequence, Runnable action) {}

    long nowNs() {
        return nowNs;
    }

    void schedule(long delayNs, Runnable action) {
        tasks.add(new Task(nowNs + Math.max(0, delayNs), nextSequence++, action));
    }

    /** Runs all tasks due by {@code endNs}, including those scheduled meanwhile. */
    void runUntil(long endNs) {
        while (!tasks.isEmpty() && tasks.peek().dueNs() <= endNs) {
            Task task = tasks.poll();
            nowNs = task.dueNs();
            task.action().run();
        }
    }
}
