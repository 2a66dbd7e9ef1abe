package org.skylarkmast.core.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.core.key.ProgramKey;

/**
 * Tracks cache releases that were requested from runners and are not yet confirmed.
 *
 * <p>A release stays pending until it is confirmed or abandoned, or its runner has restarted. Not
 * thread-safe: owned by the releaser.
 */
public final class ReleaseTracker {

    /** Delay before the first retry; doubles with each further retry. */
    private static final long MIN_RETRY_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * Longest delay between retries; also the longest time for which a runner that is reachable
     * again still holds the memory.
     */
    private static final long MAX_RETRY_DELAY_NS = TimeUnit.SECONDS.toNanos(10);

    private final Map<Release, Attempt> pending = new LinkedHashMap<>();

    /** A request to a runner to release the cache of a program. */
    public record Release(String runner, ProgramKey program) {}

    private record Attempt(long dueAtNs, long retryDelayNs) {}

    /** Adds a release that is due immediately; no effect if it is already pending. */
    public void request(Release release, long nowNs) {
        pending.putIfAbsent(release, new Attempt(nowNs, MIN_RETRY_DELAY_NS));
    }

    /**
     * Returns the releases to send now; each becomes due again after its retry delay unless it is
     * removed.
     */
    public List<Release> takeDue(long nowNs) {
        List<Release> due = new ArrayList<>();
        for (Map.Entry<Release, Attempt> entry : pending.entrySet()) {
            Attempt attempt = entry.getValue();
            if (attempt.dueAtNs() - nowNs <= 0) {
                due.add(entry.getKey());
                entry.setValue(
                        new Attempt(
                                nowNs + attempt.retryDelayNs(),
                                Math.min(MAX_RETRY_DELAY_NS, attempt.retryDelayNs() * 2)));
            }
        }
        return due;
    }

    /** Removes a release that was confirmed or abandoned; returns whether it was pending. */
    public boolean remove(Release release) {
        return pending.remove(release) != null;
    }

    /** Removes and returns all releases of a runner that no longer holds any cache. */
    public List<Release> removeAll(String runner) {
        List<Release> removed =
                pending.keySet().stream()
                        .filter(release -> release.runner().equals(runner))
                        .toList();
        removed.forEach(pending::remove);
        return removed;
    }

    /** Number of pending releases. */
    public int pendingCount() {
        return pending.size();
    }
}
