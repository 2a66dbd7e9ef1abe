package org.skylarkmast.daemon.engine;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.skylarkmast.core.engine.CacheKey;
import org.skylarkmast.core.engine.ReleaseTracker;
import org.skylarkmast.core.engine.ReleaseTracker.Release;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.scheduling.SchedulingEvent;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks runners to release the caches of programs, and retries until they confirm it.
 *
 * <p>Thread-safe. A release is abandoned when this node no longer owns the program; the {@link
 * CacheReconciler} of the new owner then finds a cache that is still held.
 */
public final class CacheReleaser {
    private static final Logger LOG = LoggerFactory.getLogger(CacheReleaser.class);
    private static final int CONFLICT = 409;

    private final HttpClient client;
    private final long timeoutMs;
    private final Function<String, Optional<String>> addressOf;
    private final Function<ProgramKey, OptionalLong> epochOf;
    private final Consumer<SchedulingEvent> eventHandler;
    private final LongSupplier nowNs;
    private final ReleaseTracker tracker = new ReleaseTracker();

    /**
     * Creates a releaser.
     *
     * @param timeoutMs longest time without data from a runner
     * @param addressOf address of a runner by name; empty if it is no longer configured
     * @param epochOf epoch under which this node owns a program; empty if it does not
     * @param eventHandler receives {@link SchedulingEvent.CacheReleased}
     * @param nowNs monotonic clock
     */
    public CacheReleaser(
            HttpClient client,
            long timeoutMs,
            Function<String, Optional<String>> addressOf,
            Function<ProgramKey, OptionalLong> epochOf,
            Consumer<SchedulingEvent> eventHandler,
            LongSupplier nowNs) {
        this.client = client;
        this.timeoutMs = timeoutMs;
        this.addressOf = addressOf;
        this.epochOf = epochOf;
        this.eventHandler = eventHandler;
        this.nowNs = nowNs;
    }

    /** Queues a release of the cache of {@code program}; {@link #sendDue} sends it. */
    public synchronized void release(String runner, ProgramKey program) {
        tracker.request(new Release(runner, program), nowNs.getAsLong());
    }

    /** Completes all releases of a restarted runner, since its cache is empty. */
    public void onRunnerRestarted(String runner) {
        List<Release> removed;
        synchronized (this) {
            removed = tracker.removeAll(runner);
        }
        removed.forEach(this::notifyReleased);
    }

    /**
     * Sends the releases that are due, one after another; to be called several times per second.
     */
    public void sendDue() {
        List<Release> due;
        synchronized (this) {
            due = tracker.takeDue(nowNs.getAsLong());
        }
        due.forEach(this::send);
    }

    /** Number of releases that are not yet confirmed. */
    public synchronized int pendingCount() {
        return tracker.pendingCount();
    }

    private void send(Release release) {
        Optional<String> address = addressOf.apply(release.runner());
        OptionalLong epoch = epochOf.apply(release.program());
        if (address.isEmpty() || epoch.isEmpty()) {
            abandon(release, address.isEmpty() ? "runner_gone" : "not_owned");
            return;
        }
        HttpOutcome outcome = client.send(request(release, address.get(), epoch.getAsLong()));
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return;
        }
        if (answered.status() / 100 == 2) {
            if (remove(release)) {
                notifyReleased(release);
            }
        } else if (answered.status() == CONFLICT) {
            abandon(release, "stale_epoch");
        }
    }

    private ClientRequest request(Release release, String address, long epoch) {
        String name = CacheKey.of(release.program());
        return new ClientRequest(
                address,
                "DELETE",
                "/cache/" + URLEncoder.encode(name, StandardCharsets.UTF_8),
                Map.of("Skylarkmast-Epoch", Long.toString(epoch)),
                new byte[0],
                timeoutMs,
                false);
    }

    private synchronized boolean remove(Release release) {
        return tracker.remove(release);
    }

    private void abandon(Release release, String reason) {
        if (remove(release)) {
            LOG.atInfo()
                    .addKeyValue("event", "cache_release_abandoned")
                    .addKeyValue("runner", release.runner())
                    .addKeyValue("program", release.program())
                    .addKeyValue("reason", reason)
                    .log();
        }
    }

    private void notifyReleased(Release release) {
        eventHandler.accept(new SchedulingEvent.CacheReleased(release.runner(), release.program()));
    }
}
