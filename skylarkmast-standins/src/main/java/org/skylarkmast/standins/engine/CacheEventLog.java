package org.skylarkmast.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A log of cache events with consecutive sequence numbers. Events become visible after a delay; an
 * event that is muted leaves a gap in the sequence. Thread-safe.
 */
final class CacheEventLog {

    /** Events kept for readers that reconnect; one that needs older events sees a gap. */
    private static final int MAX_ENTRIES = 10_000;

    private final long delayNs;
    private final Deque<Entry> entries = new ArrayDeque<>();

    private long lastSequence;
    private boolean muted;
    private boolean closed;

    /** An event as sent to readers. */
    record CacheEvent(long sequence, String program, int cachedTokens) {}

    private record Entry(CacheEvent event, long visibleAtNs) {}

    /**
     * @param delayMs delay in ms before an event becomes visible
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
        entries.addLast(new Entry(event, System.nanoTime() + delayNs));
        if (entries.size() > MAX_ENTRIES) {
            entries.removeFirst();
        }
        notifyAll();
    }

    /** Sets whether further events are lost; they still consume sequence numbers. */
    synchronized void setMuted(boolean muted) {
        this.muted = muted;
    }

    /**
     * Returns the visible events after {@code sequence}; waits up to {@code maxWaitMs} for the
     * first.
     *
     * @throws InterruptedException if interrupted while waiting
     */
    synchronized List<CacheEvent> awaitAfter(long sequence, long maxWaitMs)
            throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxWaitMs);
        while (!closed) {
            long nowNs = System.nanoTime();
            List<CacheEvent> visible = visibleAfter(sequence, nowNs);
            if (!visible.isEmpty() || nowNs - deadlineNs >= 0) {
                return visible;
            }
            long untilNs = Math.min(deadlineNs, nextVisibleNs(sequence, deadlineNs));
            TimeUnit.NANOSECONDS.timedWait(this, Math.max(1_000_000, untilNs - nowNs));
        }
        return List.of();
    }

    /** Closes the log and ends all waits. */
    synchronized void close() {
        closed = true;
        notifyAll();
    }

    synchronized boolean closed() {
        return closed;
    }

    private List<CacheEvent> visibleAfter(long sequence, long nowNs) {
        return entries.stream()
                .filter(entry -> entry.event().sequence() > sequence)
                .filter(entry -> entry.visibleAtNs() - nowNs <= 0)
                .map(Entry::event)
                .toList();
    }

    private long nextVisibleNs(long sequence, long defaultNs) {
        return entries.stream()
                .filter(entry -> entry.event().sequence() > sequence)
                .mapToLong(Entry::visibleAtNs)
                .findFirst()
                .orElse(defaultNs);
    }
}
