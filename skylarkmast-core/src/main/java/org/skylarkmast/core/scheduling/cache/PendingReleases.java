package org.skylarkmast.core.scheduling.cache;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.key.ProgramKey;

/**
 * Programs that have ended and what engines still have to drop for them.
 *
 * <p>A release is repeated, less and less often, until the runner confirms it, restarts or is taken
 * out of the configuration. An ended program is remembered for a while after, so that a late cache
 * event brings the release back. Not thread-safe: owned by the scheduler's event loop.
 */
public final class PendingReleases {
    private static final long FIRST_REPEAT_NS = 1_000_000_000L;
    private static final long MAX_REPEAT_NS = 30_000_000_000L;
    private static final int MAX_ENDED_REMEMBERED = 100_000;

    private final Map<Release, Repeat> pending = new HashMap<>();
    private final Map<ProgramKey, Boolean> ended =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<ProgramKey, Boolean> eldest) {
                    return size() > MAX_ENDED_REMEMBERED;
                }
            };

    /** A program that a runner has to drop. */
    public record Release(String runner, ProgramKey program) {}

    private record Repeat(long dueNs, long intervalNs) {}

    /** Remembers that the program is over. */
    public void end(ProgramKey program) {
        ended.put(program, Boolean.TRUE);
    }

    /**
     * Takes a program as live again, for instance when its id is used anew.
     *
     * @return runners that had not confirmed its release
     */
    public List<String> revive(ProgramKey program) {
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

    /** Starts a release; the caller sends it the first time. */
    public void start(Release release, long nowNs) {
        pending.put(release, new Repeat(nowNs + FIRST_REPEAT_NS, FIRST_REPEAT_NS));
    }

    /** Ends a release that the runner confirmed. */
    public void confirm(Release release) {
        pending.remove(release);
    }

    /** Ends all releases of a runner that holds nothing any longer. */
    public void clearRunner(String runner) {
        pending.keySet().removeIf(release -> release.runner().equals(runner));
    }

    /** Releases to send again now. */
    public List<Release> due(long nowNs) {
        List<Release> due = new ArrayList<>();
        for (Map.Entry<Release, Repeat> entry : pending.entrySet()) {
            if (nowNs - entry.getValue().dueNs() >= 0) {
                due.add(entry.getKey());
                long intervalNs = Math.min(2 * entry.getValue().intervalNs(), MAX_REPEAT_NS);
                entry.setValue(new Repeat(nowNs + intervalNs, intervalNs));
            }
        }
        return due;
    }

    /** Releases not confirmed yet. */
    public int size() {
        return pending.size();
    }
}
