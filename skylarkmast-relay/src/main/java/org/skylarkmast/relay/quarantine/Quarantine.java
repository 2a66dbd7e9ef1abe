package org.skylarkmast.relay.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps requests that end runners away from them; held by an entry node, thread-safe, no I/O.
 *
 * <p>A request is quarantined while {@link CrashAttribution} blames it, for a period after its last
 * crash. When the period has passed, this node admits it once in {@link #PROBE_INTERVAL_MS}: a
 * completion clears it, another crash quarantines it again, for longer.
 */
public final class Quarantine {
    private static final Logger LOG = LoggerFactory.getLogger(Quarantine.class);

    /** Shortest period after the last crash. */
    static final long BASE_PERIOD_MS = 60_000;

    /** Longest period, without the jitter of at most {@link #BASE_PERIOD_MS}. */
    static final long MAX_PERIOD_MS = 240_000;

    /** Time after a crash in which the nodes tell each other of crashes more often. */
    private static final long RECENT_NS = TimeUnit.SECONDS.toNanos(10);

    /** Number of crashes from which on each crash doubles the period. */
    private static final int CRASHES_OF_BASE_PERIOD = 3;

    /** Time within which the outcome of an admission after the period is known. */
    private static final long PROBE_INTERVAL_MS = 5_000;

    private final LongSupplier clockNs;
    private final long salt;
    private final CrashReports own;
    private final CrashReports known;
    private final Map<RequestFingerprint, Long> probedNs = new ConcurrentHashMap<>();
    private final Set<RequestFingerprint> inForce = new HashSet<>();
    private volatile Snapshot snapshot = new Snapshot(Set.of(), Map.of(), false, 0);

    /**
     * The present knowledge.
     *
     * @param suspects requests that are suspected of a crash, blamed ones included
     */
    private record Snapshot(
            Set<RequestFingerprint> suspects,
            Map<RequestFingerprint, Period> periods,
            boolean hasCrash,
            long newestCrashNs) {}

    /** The period in which a blamed request is not admitted. */
    private record Period(int crashes, long untilNs) {}

    /**
     * @param clockNs monotonic clock, in ns
     * @param salt a number different on each node: it spreads the ends of a period, so that a
     *     request that is still deadly does not end a runner through every node
     */
    public Quarantine(LongSupplier clockNs, long salt) {
        this.clockNs = clockNs;
        this.salt = salt;
        this.own = new CrashReports(clockNs);
        this.known = new CrashReports(clockNs);
    }

    /**
     * Records that a runner ended without announcing it.
     *
     * @param incarnation the runner's incarnation
     * @param suspects the requests that this node had there and that had produced no event
     */
    public synchronized void recordCrash(String incarnation, List<Suspect> suspects) {
        QuarantineReport report =
                new QuarantineReport(List.of(new CrashReport(incarnation, suspects, 0)), List.of());
        own.merge(report);
        known.merge(report);
        for (Suspect suspect : suspects) {
            LOG.atInfo()
                    .addKeyValue("event", "request_suspected")
                    .addKeyValue("fingerprint", suspect.fingerprint())
                    .addKeyValue("runner", incarnation)
                    .addKeyValue("heldMs", suspect.heldMs())
                    .log();
        }
        refresh();
    }

    /** Records that a runner completed a request; has no effect if it is not suspected. */
    public void recordCompletion(RequestFingerprint fingerprint) {
        if (snapshot.suspects().contains(fingerprint)) {
            clear(fingerprint);
        }
    }

    private synchronized void clear(RequestFingerprint fingerprint) {
        QuarantineReport report =
                new QuarantineReport(List.of(), List.of(new CompletionReport(fingerprint, 0)));
        own.merge(report);
        known.merge(report);
        LOG.atInfo()
                .addKeyValue("event", "request_cleared")
                .addKeyValue("fingerprint", fingerprint)
                .log();
        refresh();
    }

    /** Applies what other nodes reported. */
    public synchronized void apply(QuarantineReport merged) {
        known.merge(merged);
        own.merge(new QuarantineReport(List.of(), merged.completions()));
        refresh();
    }

    /**
     * Returns the recent observations of this node, for its next report. What other nodes reported
     * is not passed on.
     */
    public synchronized QuarantineReport reports() {
        return own.current();
    }

    /** Ends what is due; to be called about once a second. */
    public synchronized void expire() {
        refresh();
    }

    /** Whether a request may be suspected; while none is, fingerprints need not be computed. */
    public boolean hasSuspects() {
        return !snapshot.suspects().isEmpty();
    }

    /** Whether a runner ended a short while ago, so that other nodes may learn of more soon. */
    public boolean hasRecentCrash() {
        return snapshot.hasCrash() && clockNs.getAsLong() - snapshot.newestCrashNs() < RECENT_NS;
    }

    /** Returns the number of suspected requests, quarantined ones included. */
    public int suspectCount() {
        return snapshot.suspects().size();
    }

    /** Returns the number of requests that are not admitted at present. */
    public long quarantinedCount() {
        long nowNs = clockNs.getAsLong();
        return snapshot.periods().values().stream()
                .filter(period -> period.untilNs() - nowNs > 0)
                .count();
    }

    /**
     * Decides whether a request may be sent to a runner. To be called before each send: an
     * admission after the period counts.
     */
    public QuarantineDecision decide(RequestFingerprint fingerprint) {
        Period period = snapshot.periods().get(fingerprint);
        if (period == null) {
            return new QuarantineDecision.Admitted();
        }
        long nowNs = clockNs.getAsLong();
        long remainingNs = period.untilNs() - nowNs;
        if (remainingNs <= 0) {
            remainingNs = probe(fingerprint, nowNs);
        }
        return remainingNs <= 0
                ? new QuarantineDecision.Admitted()
                : new QuarantineDecision.Quarantined(
                        TimeUnit.NANOSECONDS.toMillis(remainingNs) + 1, period.crashes());
    }

    /** Returns the time until a request may be admitted to see whether it still ends runners. */
    private long probe(RequestFingerprint fingerprint, long nowNs) {
        long intervalNs = TimeUnit.MILLISECONDS.toNanos(PROBE_INTERVAL_MS);
        long[] remainingNs = {0};
        probedNs.compute(
                fingerprint,
                (key, lastNs) -> {
                    remainingNs[0] = lastNs == null ? 0 : lastNs + intervalNs - nowNs;
                    return remainingNs[0] <= 0 ? nowNs : lastNs;
                });
        return remainingNs[0];
    }

    private void refresh() {
        List<CrashReport> crashes = known.current().crashes();
        long nowNs = clockNs.getAsLong();
        Set<RequestFingerprint> suspects = new HashSet<>();
        long newestAgeMs = CrashReports.REPEATED_RETENTION_MS;
        for (CrashReport crash : crashes) {
            newestAgeMs = Math.min(newestAgeMs, crash.ageMs());
            crash.suspects().forEach(suspect -> suspects.add(suspect.fingerprint()));
        }
        Map<RequestFingerprint, Period> periods = new HashMap<>();
        Collection<Blame> blamed = CrashAttribution.blamed(crashes);
        for (Blame blame : blamed) {
            long untilNs =
                    nowNs + TimeUnit.MILLISECONDS.toNanos(periodMs(blame) - blame.newestAgeMs());
            periods.put(blame.fingerprint(), new Period(blame.crashes(), untilNs));
        }
        snapshot =
                new Snapshot(
                        Set.copyOf(suspects),
                        Map.copyOf(periods),
                        !crashes.isEmpty(),
                        nowNs - TimeUnit.MILLISECONDS.toNanos(newestAgeMs));
        probedNs.keySet().retainAll(periods.keySet());
        logChanges(periods, nowNs);
    }

    private long periodMs(Blame blame) {
        int doublings = Math.max(0, blame.crashes() - CRASHES_OF_BASE_PERIOD);
        long periodMs = BASE_PERIOD_MS;
        for (int i = 0; i < doublings && periodMs < MAX_PERIOD_MS; i++) {
            periodMs *= 2;
        }
        long seed = salt ^ blame.fingerprint().low() ^ blame.crashes();
        return periodMs + (long) (new SplittableRandom(seed).nextDouble() * BASE_PERIOD_MS);
    }

    private void logChanges(Map<RequestFingerprint, Period> periods, long nowNs) {
        periods.forEach(
                (fingerprint, period) -> {
                    if (period.untilNs() - nowNs > 0 && inForce.add(fingerprint)) {
                        LOG.atWarn()
                                .addKeyValue("event", "request_quarantined")
                                .addKeyValue("fingerprint", fingerprint)
                                .addKeyValue("crashes", period.crashes())
                                .addKeyValue(
                                        "remainingMs",
                                        TimeUnit.NANOSECONDS.toMillis(period.untilNs() - nowNs))
                                .log();
                    }
                });
        for (RequestFingerprint fingerprint : new ArrayList<>(inForce)) {
            Period period = periods.get(fingerprint);
            if (period == null || period.untilNs() - nowNs <= 0) {
                inForce.remove(fingerprint);
                LOG.atInfo()
                        .addKeyValue("event", "quarantine_ended")
                        .addKeyValue("fingerprint", fingerprint)
                        .addKeyValue("reason", period == null ? "not_blamed" : "period_passed")
                        .log();
            }
        }
    }
}
