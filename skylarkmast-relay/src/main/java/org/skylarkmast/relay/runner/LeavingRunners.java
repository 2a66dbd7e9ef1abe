package org.skylarkmast.relay.runner;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The runners that announced in an answer that they are leaving.
 *
 * <p>An incarnation is remembered for as long as it is registered, whatever its registration says:
 * the store may be away, or what is known of it old. It is forgotten when it has not been
 * registered for {@link #RETENTION_MS}, so that a registration that lapsed and comes back does not
 * bring it back into use. Not thread-safe.
 */
final class LeavingRunners {
    private static final Logger LOG = LoggerFactory.getLogger(LeavingRunners.class);

    /** Time without a registration after which a runner is forgotten; it has ended long before. */
    private static final long RETENTION_MS = TimeUnit.MINUTES.toMillis(10);

    /** Maximum number of runners; the one that was recorded first is forgotten above it. */
    private static final int MAX_RUNNERS = 4096;

    private final LongSupplier clockNs;
    private final Map<String, Leaving> leavingById = new LinkedHashMap<>();

    /**
     * The newest incarnation of a runner that is leaving.
     *
     * @param startedAtMs as in {@link Runner}
     * @param lastRegisteredNs when the runner was last seen to be registered
     */
    private record Leaving(long startedAtMs, long lastRegisteredNs) {}

    /**
     * @param clockNs monotonic clock, in ns
     */
    LeavingRunners(LongSupplier clockNs) {
        this.clockNs = clockNs;
    }

    /** Records an incarnation; returns whether it was not known to be leaving. */
    boolean add(String id, long startedAtMs) {
        Leaving known = leavingById.get(id);
        if (known != null && known.startedAtMs() >= startedAtMs) {
            return false;
        }
        leavingById.put(id, new Leaving(startedAtMs, clockNs.getAsLong()));
        if (leavingById.size() > MAX_RUNNERS) {
            String oldest = leavingById.keySet().iterator().next();
            leavingById.remove(oldest);
            LOG.atWarn()
                    .addKeyValue("event", "leaving_runner_forgotten")
                    .addKeyValue("runner", oldest)
                    .addKeyValue("reason", "more than " + MAX_RUNNERS + " runners are leaving")
                    .log();
        }
        return true;
    }

    /** Whether {@code runner} is leaving; without a start time, any incarnation of its id is. */
    boolean contains(Runner runner) {
        Leaving known = leavingById.get(runner.id());
        return known != null
                && (runner.startedAtMs() <= known.startedAtMs() || known.startedAtMs() == 0);
    }

    /** Forgets the runners that have not been registered for a long time. */
    void expire(Set<String> registeredIds) {
        long nowNs = clockNs.getAsLong();
        leavingById.replaceAll(
                (id, leaving) ->
                        registeredIds.contains(id)
                                ? new Leaving(leaving.startedAtMs(), nowNs)
                                : leaving);
        leavingById
                .values()
                .removeIf(
                        leaving ->
                                nowNs - leaving.lastRegisteredNs()
                                        > TimeUnit.MILLISECONDS.toNanos(RETENTION_MS));
    }

    int size() {
        return leavingById.size();
    }
}
