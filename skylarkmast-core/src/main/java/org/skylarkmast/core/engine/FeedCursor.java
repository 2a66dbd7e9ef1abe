package org.skylarkmast.core.engine;

/**
 * How far one runner's reports were read.
 *
 * <p>Not thread-safe: owned by the feed of its runner.
 */
public final class FeedCursor {
    private long startedAtMs;
    private long lastSequence;

    /**
     * Takes the start time of a load report.
     *
     * @return whether the runner was restarted since the last one; its cache and event count are
     *     then new
     */
    public boolean onStartTime(long reportedStartMs) {
        boolean restarted = startedAtMs != 0 && reportedStartMs != startedAtMs;
        startedAtMs = reportedStartMs;
        if (restarted) {
            lastSequence = 0;
        }
        return restarted;
    }

    /** Takes an event's number; returns whether it is new. */
    public boolean onEvent(long sequence) {
        if (sequence <= lastSequence) {
            return false;
        }
        lastSequence = sequence;
        return true;
    }

    /** The number of the last event taken; reading goes on after it. */
    public long lastSequence() {
        return lastSequence;
    }
}
