package org.skylarkmast.bench.decision;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in order of virtual time; tasks of the same time run in the order they were set. */
final class VirtualClock {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atNs).thenComparingLong(Task::sequence));

    private long nowNs;
    private long nextSequence;

    private record Task(long atNs, long sequence, Runnable action) {}

    long nowNs() {
        return nowNs;
    }

    void after(long delayNs, Runnable action) {
        tasks.add(new Task(nowNs + Math.max(0, delayNs), nextSequence++, action));
    }

    /** Runs until {@code endNs} or until nothing is left to do. */
    void runUntil(long endNs) {
        while (!tasks.isEmpty() && tasks.peek().atNs() <= endNs) {
            Task task = tasks.poll();
            nowNs = task.atNs();
            task.action().run();
        }
    }
}
