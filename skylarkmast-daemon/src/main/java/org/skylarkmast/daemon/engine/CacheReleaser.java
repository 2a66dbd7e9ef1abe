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
 * Asks runners to drop what they hold for programs, until they confirm it.
 *
 * <p>Thread-safe. A release is abandoned when this node does not own the program any longer; the
 * new owner's {@link CacheReconciler} finds what is left.
 */
public final class CacheReleaser {
    private static final Logger LOG = LoggerFactory.getLogger(CacheReleaser.class);
    private static final int CONFLICT = 409;

    private final HttpClient client;
    private final long timeoutMs;
    private final Function<String, Optional<String>> addressOf;
    private final Function<ProgramKey, OptionalLong> epochOf;
    private final Consumer<SchedulingEvent> events;
    private final LongSupplier nowNs;
    private final ReleaseTracker tracker = new ReleaseTracker();

    /**
     * Creates a releaser.
     *
     * @param timeoutMs longest silence of a runner to bear
     * @param addressOf address of a runner by name; empty once it is not configured any longer
     * @param epochOf epoch under which this node owns a program; empty if it does not
     * @param events takes {@link SchedulingEvent.CacheReleased}
     * @param nowNs monotonic clock
     */
    public CacheReleaser(
            HttpClient client,
            long timeoutMs,
            Function<String, Optional<String>> addressOf,
            Function<ProgramKey, OptionalLong> epochOf,
            Consumer<SchedulingEvent> events,
            LongSupplier nowNs) {
        this.client = client;
        this.timeoutMs = timeoutMs;
        this.addressOf = addressOf;
        this.epochOf = epochOf;
        this.events = events;
        this.nowNs = nowNs;
    }

    /** Has {@code runner} drop what it holds for {@code program}; sent by {@link #sendDue}. */
    public synchronized void release(String runner, ProgramKey program) {
        tracker.request(new Release(runner, program), nowNs.getAsLong());
    }

    /** Ends the releases of a runner that was found restarted, since its cache is empty. */
    public void onRunnerRestarted(String runner) {
        List<Release> ended;
        synchronized (this) {
            ended = tracker.removeAll(runner);
        }
        ended.forEach(this::tellReleased);
    }

    /**
     * Sends the releases that are due, one after the other; to be called several times a second.
     */
    public void sendDue() {
        List<Release> due;
        synchronized (this) {
            due = tracker.takeDue(nowNs.getAsLong());
        }
        due.forEach(this::send);
    }

    /** Releases not yet confirmed. */
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
            if (end(release)) {
                tellReleased(release);
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

    private synchronized boolean end(Release release) {
        return tracker.remove(release);
    }

    private void abandon(Release release, String reason) {
        if (end(release)) {
            LOG.atInfo()
                    .addKeyValue("event", "cache_release_abandoned")
                    .addKeyValue("runner", release.runner())
                    .addKeyValue("program", release.program())
                    .addKeyValue("reason", reason)
                    .log();
        }
    }

    private void tellReleased(Release release) {
        events.accept(new SchedulingEvent.CacheReleased(release.runner(), release.program()));
    }
}
