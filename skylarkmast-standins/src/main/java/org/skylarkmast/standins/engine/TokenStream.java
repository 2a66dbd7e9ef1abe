package org.skylarkmast.standins.engine;

import java.util.concurrent.TimeUnit;

/** One answer coming into being; readers may join at any token; thread-safe. */
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

    /** Adds a token; returns whether the stream goes on. */
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

    /** Whether it ended more than {@code keepMs} ago. */
    synchronized boolean outdated(long keepMs) {
        return ended && System.nanoTime() - endedAtNs > TimeUnit.MILLISECONDS.toNanos(keepMs);
    }

    /**
     * Waits until it ended, so that its cache entry and record are there.
     *
     * @throws InterruptedException if interrupted while waiting
     */
    synchronized void awaitEnd() throws InterruptedException {
        while (!ended) {
            wait();
        }
    }

    /**
     * Waits until token {@code index} is there.
     *
     * @return whether it is; {@code false} if the stream ended before it
     * @throws InterruptedException if interrupted while waiting
     */
    synchronized boolean awaitToken(int index) throws InterruptedException {
        while (producedTokens <= index && !ended && !cancelled) {
            wait();
        }
        return producedTokens > index;
    }
}
