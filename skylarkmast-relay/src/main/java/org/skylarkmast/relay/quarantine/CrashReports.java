package org.skylarkmast.relay.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

/**
 * The crashes and completions that several nodes reported; not thread-safe, no I/O.
 *
 * <p>Reports may be merged in any order and any number of times. An age grows too little on its way
 * between nodes. The oldest report of a crash is therefore the most accurate one, and a report of a
 * completion is news only if it is newer by more than {@link #CLEARED_MS}; otherwise nodes that
 * report to each other would renew what they know forever.
 */
public final class CrashReports {

    /**
     * Time for which a crash is kept: all that are weighed against a request are kept until its
     * first quarantine has ended, so that the verdict on it does not change meanwhile.
     */
    static final long RETENTION_MS = 180_000;

    /**
     * Time for which the crashes of a request are kept that is suspected of several: longer than
     * two quarantines, so that the crash after a quarantine adds to those before it.
     */
    static final long REPEATED_RETENTION_MS = 900_000;

    /** Maximum number of crashes; the oldest are dropped. */
    static final int MAX_CRASHES = 512;

    /** Maximum number of suspects of a crash; those that the runner held longest are dropped. */
    static final int MAX_SUSPECTS = 128;

    /** Maximum number of completions; the oldest are dropped. */
    static final int MAX_COMPLETIONS = 2_048;

    /**
     * Time after its completion for which a request is not suspected. It exceeds the error of ages,
     * and a request that runners complete again and again is at many crashes.
     */
    private static final long CLEARED_MS = 10_000;

    private static final Comparator<Suspect> LIKELIEST_FIRST =
            Comparator.comparingLong(Suspect::heldMs).thenComparing(Suspect::fingerprint);

    private final LongSupplier clockNs;
    private final Map<String, Crash> crashes = new HashMap<>();
    private final Map<RequestFingerprint, Long> completedNs = new HashMap<>();

    private static final class Crash {
        final Map<RequestFingerprint, Long> heldMsBySuspect = new HashMap<>();
        long endedNs;

        Crash(long endedNs) {
            this.endedNs = endedNs;
        }

        List<Suspect> suspects() {
            List<Suspect> suspects = new ArrayList<>(heldMsBySuspect.size());
            heldMsBySuspect.forEach(
                    (fingerprint, heldMs) -> suspects.add(new Suspect(fingerprint, heldMs)));
            suspects.sort(LIKELIEST_FIRST);
            return suspects;
        }
    }

    /**
     * @param clockNs monotonic clock, in ns
     */
    public CrashReports(LongSupplier clockNs) {
        this.clockNs = clockNs;
    }

    /** Merges what another node reports, or this node has observed. */
    public void merge(QuarantineReport report) {
        long nowNs = clockNs.getAsLong();
        for (CompletionReport completion : report.completions()) {
            if (completion.ageMs() <= RETENTION_MS) {
                mergeCompletion(
                        completion.fingerprint(),
                        nowNs - TimeUnit.MILLISECONDS.toNanos(completion.ageMs()));
            }
        }
        for (CrashReport crash : report.crashes()) {
            if (crash.ageMs() <= REPEATED_RETENTION_MS) {
                mergeCrash(crash, nowNs - TimeUnit.MILLISECONDS.toNanos(crash.ageMs()));
            }
        }
        crashes.values().forEach(this::removeCleared);
        limit();
    }

    private void mergeCompletion(RequestFingerprint fingerprint, long atNs) {
        completedNs.merge(
                fingerprint,
                atNs,
                (known, received) ->
                        received - known > TimeUnit.MILLISECONDS.toNanos(CLEARED_MS)
                                ? received
                                : known);
    }

    private void mergeCrash(CrashReport report, long endedNs) {
        Crash crash = crashes.computeIfAbsent(report.incarnation(), key -> new Crash(endedNs));
        if (endedNs - crash.endedNs < 0) {
            crash.endedNs = endedNs;
        }
        for (Suspect suspect : report.suspects()) {
            crash.heldMsBySuspect.merge(suspect.fingerprint(), suspect.heldMs(), Math::min);
        }
    }

    private void removeCleared(Crash crash) {
        long clearedNs = TimeUnit.MILLISECONDS.toNanos(CLEARED_MS);
        crash.heldMsBySuspect
                .keySet()
                .removeIf(
                        fingerprint -> {
                            Long atNs = completedNs.get(fingerprint);
                            return atNs != null && atNs + clearedNs - crash.endedNs >= 0;
                        });
    }

    private void limit() {
        dropOldest(crashes, MAX_CRASHES, crash -> crash.endedNs);
        dropOldest(completedNs, MAX_COMPLETIONS, atNs -> atNs);
        for (Crash crash : crashes.values()) {
            if (crash.heldMsBySuspect.size() > MAX_SUSPECTS) {
                List<Suspect> suspects = crash.suspects();
                suspects.subList(MAX_SUSPECTS, suspects.size())
                        .forEach(suspect -> crash.heldMsBySuspect.remove(suspect.fingerprint()));
            }
        }
    }

    private <K extends Comparable<K>, V> void dropOldest(
            Map<K, V> entries, int maxEntries, ToLongFunction<V> atNs) {
        int excess = entries.size() - maxEntries;
        if (excess <= 0) {
            return;
        }
        long nowNs = clockNs.getAsLong();
        List<Map.Entry<K, V>> oldestFirst = new ArrayList<>(entries.entrySet());
        oldestFirst.sort(
                Comparator.<Map.Entry<K, V>>comparingLong(
                                entry -> atNs.applyAsLong(entry.getValue()) - nowNs)
                        .thenComparing(Map.Entry::getKey));
        List<K> dropped = oldestFirst.subList(0, excess).stream().map(Map.Entry::getKey).toList();
        dropped.forEach(entries::remove);
    }

    /** Returns the crashes, without suspects that have been cleared, and the completions. */
    public QuarantineReport current() {
        long nowNs = clockNs.getAsLong();
        expire(nowNs);
        List<CrashReport> crashReports = new ArrayList<>(crashes.size());
        crashes.forEach(
                (incarnation, crash) ->
                        crashReports.add(
                                new CrashReport(
                                        incarnation,
                                        crash.suspects(),
                                        ageMs(crash.endedNs, nowNs))));
        List<CompletionReport> completions = new ArrayList<>(completedNs.size());
        completedNs.forEach(
                (fingerprint, atNs) ->
                        completions.add(new CompletionReport(fingerprint, ageMs(atNs, nowNs))));
        return new QuarantineReport(crashReports, completions);
    }

    private void expire(long nowNs) {
        completedNs.values().removeIf(atNs -> ageMs(atNs, nowNs) > RETENTION_MS);
        crashes.values().removeIf(crash -> ageMs(crash.endedNs, nowNs) > REPEATED_RETENTION_MS);
        Map<RequestFingerprint, Integer> crashesBySuspect = new HashMap<>();
        for (Crash crash : crashes.values()) {
            crash.heldMsBySuspect
                    .keySet()
                    .forEach(fingerprint -> crashesBySuspect.merge(fingerprint, 1, Integer::sum));
        }
        crashes.values()
                .removeIf(
                        crash -> {
                            if (ageMs(crash.endedNs, nowNs) <= RETENTION_MS) {
                                return false;
                            }
                            crash.heldMsBySuspect
                                    .keySet()
                                    .removeIf(suspect -> crashesBySuspect.get(suspect) < 2);
                            return crash.heldMsBySuspect.isEmpty();
                        });
    }

    private static long ageMs(long sinceNs, long nowNs) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNs - sinceNs));
    }
}
