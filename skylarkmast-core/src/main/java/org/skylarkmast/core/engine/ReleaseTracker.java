package org.skylarkmast.core.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.core.key.ProgramKey;

/**
 * Caches that runners were asked to drop and have not yet confirmed.
 *
 * <p>A release stays until it is confirmed, abandoned or its runner is found restarted. Not
 * thread-safe: owned by the releaser.
 */
public final class ReleaseTracker {

    /** Pause before the first repetition; it doubles with each. */
    private static final long MIN_RETRY_NS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Longest pause; memory stays held by as much after a runner comes back. */
    private static final long MAX_RETRY_NS = TimeUnit.SECONDS.toNanos(10);

    private final Map<Release, Attempt> pending = new LinkedHashMap<>();

    /** A cache to be dropped. */
    public record Release(String runner, ProgramKey program) {}

    private record Attempt(long nextAtNs, long pauseNs) {}

    /** Adds a release that is due at once; no effect if it is pending. */
    public void request(Release release, long nowNs) {
        pending.putIfAbsent(release, new Attempt(nowNs, MIN_RETRY_NS));
    }

    /** The releases to send now; each is due again later unless it is confirmed. */
    public List<Release> takeDue(long nowNs) {
        List<Release> due = new ArrayList<>();
        for (Map.Entry<Release, Attempt> entry : pending.entrySet()) {
            Attempt attempt = entry.getValue();
            if (attempt.nextAtNs() - nowNs <= 0) {
                due.add(entry.getKey());
                entry.setValue(
                        new Attempt(
                                nowNs + attempt.pauseNs(),
                                Math.min(MAX_RETRY_NS, attempt.pauseNs() * 2)));
            }
        }
        return due;
    }

    /** Ends a release, confirmed or abandoned; returns whether it was pending. */
    public boolean end(Release release) {
        return pending.remove(release) != null;
    }

    /** Ends all releases of a runner that holds nothing any longer, and returns them. */
    public List<Release> endAll(String runner) {
        List<Release> ended =
                pending.keySet().stream()
                        .filter(release -> release.runner().equals(runner))
                        .toList();
        ended.forEach(pending::remove);
        return ended;
    }

    /** Releases not yet confirmed. */
    public int pendingCount() {
        return pending.size();
    }
}
