package org.skylarkmast.relay.forward;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.limit.QuotaAdmission;
import org.skylarkmast.relay.limit.QuotaDecision;
import org.skylarkmast.relay.route.Workspace;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rejects requests beyond the allowance of their workspace, and gives back the places of those that
 * did not run; thread-safe.
 */
final class WorkspaceQuota {
    private static final Logger LOG = LoggerFactory.getLogger(WorkspaceQuota.class);
    private static final int TOO_MANY_REQUESTS = 429;

    /**
     * Pause between two log lines for one workspace; all its rejections may be hundreds a second.
     */
    private static final long LOG_PAUSE_MS = 1000;

    private final QuotaAdmission admission;
    private final LongSupplier clockNs;
    private final Map<String, Rejections> rejections = new ConcurrentHashMap<>();

    /** The rejections of a workspace that no log line has counted yet. */
    private static final class Rejections {
        private final AtomicInteger unlogged = new AtomicInteger();
        private long loggedNs;
    }

    /**
     * @param clockNs monotonic clock, in ns
     */
    WorkspaceQuota(QuotaAdmission admission, LongSupplier clockNs) {
        this.admission = admission;
        this.clockNs = clockNs;
    }

    /**
     * Counts a request against the allowance of its workspace; returns why it is rejected, if it
     * is.
     *
     * @param workspace null if the request belongs to none
     * @param configurationVersion version of the configuration that states the allowance
     */
    Optional<Refusal> refusal(
            Workspace workspace, long configurationVersion, RequestLog.Entry entry)
            throws InterruptedException {
        if (workspace == null) {
            return Optional.empty();
        }
        return switch (admission.admit(workspace, configurationVersion)) {
            case QuotaDecision.Admitted _ -> Optional.empty();
            case QuotaDecision.Rejected rejected -> {
                log(workspace, rejected, entry);
                yield Optional.of(
                        new Refusal(
                                TOO_MANY_REQUESTS,
                                rejected.retryAfterMs(),
                                "allowance of workspace used up"));
            }
        };
    }

    /**
     * Gives back the place of a request that has ended without having run.
     *
     * @param workspace null if the request belongs to none
     */
    void ended(Workspace workspace, RequestLog.Entry entry) {
        if (workspace == null) {
            return;
        }
        boolean wasSent = entry.sends > 0 || !entry.peer.isEmpty();
        boolean didNotRun = !wasSent || Refusal.promisesNotRun(entry.status);
        long ageMs = TimeUnit.NANOSECONDS.toMillis(clockNs.getAsLong() - entry.startedNs);
        // A place that was taken before the present window is not missing in it.
        if (didNotRun && ageMs < admission.windowMs()) {
            admission.giveBack(workspace);
        }
    }

    private void log(Workspace workspace, QuotaDecision.Rejected rejected, RequestLog.Entry entry) {
        Rejections counted = rejections.computeIfAbsent(workspace.name(), _ -> new Rejections());
        int unlogged = counted.unlogged.incrementAndGet();
        long nowNs = clockNs.getAsLong();
        synchronized (counted) {
            boolean isFirst = counted.loggedNs == 0;
            if (!isFirst
                    && nowNs - counted.loggedNs < TimeUnit.MILLISECONDS.toNanos(LOG_PAUSE_MS)) {
                return;
            }
            counted.loggedNs = nowNs;
            counted.unlogged.addAndGet(-unlogged);
        }
        LOG.atInfo()
                .addKeyValue("event", "request_rejected")
                .addKeyValue("request", entry.requestId)
                .addKeyValue("workspace", workspace.name())
                .addKeyValue("reason", "allowance")
                .addKeyValue("limit", workspace.requestsPerSecond())
                .addKeyValue("burst", workspace.burst())
                .addKeyValue("level", rejected.level())
                .addKeyValue("source", rejected.source().label())
                .addKeyValue("ageMs", rejected.ageMs())
                .addKeyValue("retryAfterMs", rejected.retryAfterMs())
                .addKeyValue("rejections", unlogged)
                .log();
    }
}
