package org.skylarkmast.standins.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The slots of a batch, assigned by priority and then by order of arrival. Thread-safe. */
final class BatchSlots {
    private final int maxRunning;
    private final int maxWaiting;
    private final PriorityQueue<Ticket> queue =
            new PriorityQueue<>(
                    Comparator.comparingInt((Ticket ticket) -> -ticket.priority())
                            .thenComparingLong(Ticket::arrival));

    private long arrivals;
    private int running;

    /** A place in the queue. */
    record Ticket(int priority, long arrival) {}

    BatchSlots(int maxRunning, int maxWaiting) {
        this.maxRunning = maxRunning;
        this.maxWaiting = maxWaiting;
    }

    /** Enqueues a call; returns null if the queue is full. */
    synchronized Ticket enqueue(int priority) {
        if (running + queue.size() >= maxRunning + maxWaiting) {
            return null;
        }
        Ticket ticket = new Ticket(priority, ++arrivals);
        queue.add(ticket);
        notifyAll();
        return ticket;
    }

    /**
     * Waits until the ticket is first in the queue and a slot is free, and occupies the slot.
     *
     * @throws InterruptedException if interrupted while waiting; the ticket is then removed
     */
    synchronized void acquire(Ticket ticket) throws InterruptedException {
        try {
            while (running >= maxRunning || !ticket.equals(queue.peek())) {
                wait();
            }
        } finally {
            queue.remove(ticket);
        }
        running++;
        notifyAll();
    }

    synchronized void release() {
        running--;
        notifyAll();
    }

    synchronized int running() {
        return running;
    }

    synchronized int waiting() {
        return queue.size();
    }
}
