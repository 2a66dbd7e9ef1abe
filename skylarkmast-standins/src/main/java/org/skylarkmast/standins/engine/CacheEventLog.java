package org.skylarkmast.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Numbered cache events, told late; muted ones leave a gap; thread-safe. */
final class CacheEventLog {

    /** Events kept for readers that come back; older ones are a gap to them. */
    private static final int MAX_KEPT = 10_000;

    private final long delayNs;
    private final Deque<Entry> kept = new ArrayDeque<>();

    private long lastSequence;
    private boolean muted;
    private boolean closed;

    /** An event as readers see it. */
    record CacheEvent(long sequence, String program, int cachedTokens) {}

    private record Entry(CacheEvent event, long tellAtNs) {}

    /**
     * @param delayMs time by which events are late
     */
    CacheEventLog(long delayMs) {
        this.delayNs = TimeUnit.MILLISECONDS.toNanos(delayMs);
    }

    synchronized void append(CacheChange change) {
        lastSequence++;
        if (muted) {
            return;
        }
        CacheEvent event = new CacheEvent(lastSequence, change.program(), change.cachedTokens());
        kept.addLast(new Entry(event, System.nanoTime() + delayNs));
        if (kept.size() > MAX_KEPT) {
            kept.removeFirst();
        }
        notifyAll();
    }

    /** Sets whether further events are lost. */
    synchronized void setMuted(boolean muted) {
        this.muted = muted;
    }

    /**
     * Events after {@code sequence} that are due, waiting up to {@code maxWaitMs} for the first.
     *
     * @throws InterruptedException if interrupted while waiting
     */
    synchronized List<CacheEvent> awaitAfter(long sequence, long maxWaitMs)
            throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxWaitMs);
        while (!closed) {
            long nowNs = System.nanoTime();
            List<CacheEvent> due = due(sequence, nowNs);
            if (!due.isEmpty() || nowNs - deadlineNs >= 0) {
                return due;
            }
            long untilNs = Math.min(deadlineNs, nextDueNs(sequence, deadlineNs));
            TimeUnit.NANOSECONDS.timedWait(this, Math.max(1_000_000, untilNs - nowNs));
        }
        return List.of();
    }

    /** Ends all waits. */
    synchronized void close() {
        closed = true;
        notifyAll();
    }

    synchronized boolean closed() {
        return closed;
    }

    private List<CacheEvent> due(long sequence, long nowNs) {
        return kept.stream()
                .filter(entry -> entry.event().sequence() > sequence)
                .filter(entry -> entry.tellAtNs() - nowNs <= 0)
                .map(Entry::event)
                .toList();
    }

    private long nextDueNs(long sequence, long otherwiseNs) {
        return kept.stream()
                .filter(entry -> entry.event().sequence() > sequence)
                .mapToLong(Entry::tellAtNs)
                .findFirst()
                .orElse(otherwiseNs);
    }
}
