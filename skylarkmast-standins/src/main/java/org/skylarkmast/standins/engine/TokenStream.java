package org.skylarkmast.standins.engine;

import java.util.concurrent.TimeUnit;

/** An answer that is being produced; readers can start at any token. Thread-safe. */
final class TokenStream {
    private final String id;
    private final Prompt prompt;
    private final int totalTokens;

    private int producedTokens;
    private int cachedTokens;
    private boolean cancelled;
    private long endedAtNs;
    private boolean ended;

    TokenStream(String id, Prompt prompt, int totalTokens) {
        this.id = id;
        this.prompt = prompt;
        this.totalTokens = totalTokens;
    }

    String id() {
        return id;
    }

    Prompt prompt() {
        return prompt;
    }

    int totalTokens() {
        return totalTokens;
    }

    synchronized int producedTokens() {
        return producedTokens;
    }

    synchronized int cachedTokens() {
        return cachedTokens;
    }

    synchronized void setCachedTokens(int tokens) {
        cachedTokens = tokens;
    }

    /** Adds a token unless the stream is cancelled; returns whether more tokens follow. */
    synchronized boolean produce() {
        if (!cancelled) {
            producedTokens++;
            notifyAll();
        }
        return !cancelled && producedTokens < totalTokens;
    }

    synchronized void cancel() {
        cancelled = true;
        notifyAll();
    }

    synchronized boolean cancelled() {
        return cancelled;
    }

    synchronized void end() {
        ended = true;
        endedAtNs = System.nanoTime();
        notifyAll();
    }

    /** Returns whether the stream ended more than {@code retentionMs} milliseconds ago. */
    synchronized boolean isExpired(long retentionMs) {
        return ended && System.nanoTime() - endedAtNs > TimeUnit.MILLISECONDS.toNanos(retentionMs);
    }

    /**
     * Waits until the stream has ended; its cache entry and its record are then complete.
     *
     * @throws InterruptedException if interrupted while waiting
     */
    synchronized void awaitEnd() throws InterruptedException {
        while (!ended) {
            wait();
        }
    }

    /**
     * Waits until token {@code index} has been produced.
     *
     * @return true if it was produced; false if the stream ended or was cancelled before it
     * @throws InterruptedException if interrupted while waiting
     */
    synchronized boolean awaitToken(int index) throws InterruptedException {
        while (producedTokens <= index && !ended && !cancelled) {
            wait();
        }
        return producedTokens > index;
    }
}
