package org.skylarkmast.core.scheduling.cache;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.key.ProgramKey;

/**
 * Programs that have ended, and the cache releases that engines have not confirmed.
 *
 * <p>A release is repeated with exponential back-off until the runner confirms it, restarts or is
 * removed from the configuration. Ended programs are kept for a while after that, so that a late
 * cache event starts the release again. Not thread-safe: owned by the scheduler's event loop.
 */
public final class PendingReleases {
    private static final long INITIAL_RETRY_INTERVAL_NS = 1_000_000_000L;
    private static final long MAX_RETRY_INTERVAL_NS = 30_000_000_000L;
    private static final int MAX_ENDED_PROGRAMS = 100_000;

    private final Map<Release, Retry> pending = new HashMap<>();
    private final Map<ProgramKey, Boolean> ended =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<ProgramKey, Boolean> eldest) {
                    return size() > MAX_ENDED_PROGRAMS;
                }
            };

    /** A program whose cache a runner has to drop. */
    public record Release(String runner, ProgramKey program) {}

    private record Retry(long dueNs, long intervalNs) {}

    /** Records that the program has ended. */
    public void markEnded(ProgramKey program) {
        ended.put(program, Boolean.TRUE);
    }

    /**
     * Marks a program as live again, for instance when its id is reused.
     *
     * @return runners that had not confirmed its release
     */
    public List<String> reactivate(ProgramKey program) {
        if (ended.remove(program) == null) {
            return List.of();
        }
        List<String> runners = new ArrayList<>();
        for (Release release : pending.keySet()) {
            if (release.program().equals(program)) {
                runners.add(release.runner());
            }
        }
        runners.forEach(runner -> pending.remove(new Release(runner, program)));
        return runners;
    }

    public boolean isEnded(ProgramKey program) {
        return ended.containsKey(program);
    }

    /** Starts a release; the caller sends the first request itself. */
    public void start(Release release, long nowNs) {
        pending.put(
                release, new Retry(nowNs + INITIAL_RETRY_INTERVAL_NS, INITIAL_RETRY_INTERVAL_NS));
    }

    /** Ends a release that the runner confirmed. */
    public void confirm(Release release) {
        pending.remove(release);
    }

    /** Ends all releases of a runner whose cache is empty or that was removed. */
    public void removeRunner(String runner) {
        pending.keySet().removeIf(release -> release.runner().equals(runner));
    }

    /** Returns the releases to be sent again now, and schedules their next repetition. */
    public List<Release> due(long nowNs) {
        List<Release> due = new ArrayList<>();
        for (Map.Entry<Release, Retry> entry : pending.entrySet()) {
            if (nowNs - entry.getValue().dueNs() >= 0) {
                due.add(entry.getKey());
                long intervalNs =
                        Math.min(2 * entry.getValue().intervalNs(), MAX_RETRY_INTERVAL_NS);
                entry.setValue(new Retry(nowNs + intervalNs, intervalNs));
            }
        }
        return due;
    }

    /** The number of releases that are not confirmed. */
    public int size() {
        return pending.size();
    }
}
