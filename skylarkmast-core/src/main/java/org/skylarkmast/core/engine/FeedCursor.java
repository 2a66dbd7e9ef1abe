package org.skylarkmast.core.engine;

/**
 * Read position in the event feed of one runner.
 *
 * <p>Not thread-safe: owned by the feed of its runner.
 */
public final class FeedCursor {
    private long startedAtMs;
    private long lastSequence;

    /**
     * Records the start time in a load report.
     *
     * @return whether the runner was restarted since the last report; its cache is then empty and
     *     its event numbers start again
     */
    public boolean onStartTime(long reportedStartMs) {
        boolean restarted = startedAtMs != 0 && reportedStartMs != startedAtMs;
        startedAtMs = reportedStartMs;
        if (restarted) {
            lastSequence = 0;
        }
        return restarted;
    }

    /** Records the sequence number of an event; returns whether the event is new. */
    public boolean onEvent(long sequence) {
        if (sequence <= lastSequence) {
            return false;
        }
        lastSequence = sequence;
        return true;
    }

    /** The sequence number of the last event processed; reading continues after it. */
    public long lastSequence() {
        return lastSequence;
    }
}
