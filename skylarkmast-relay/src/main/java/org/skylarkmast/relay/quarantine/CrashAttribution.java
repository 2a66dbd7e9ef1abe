package org.skylarkmast.relay.quarantine;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * Attributes crashes of runners to requests.
 *
 * <p>The suspects of a crash are equally likely at first. The request that was present at most of
 * the crashes explains these best; they then do not count against the others that were present
 * (greedy set cover). A request is blamed for
 *
 * <ul>
 *   <li>{@value #SUFFICIENT_CRASHES} crashes or more, together with others that are present at as
 *       many;
 *   <li>{@value #SUFFICIENT_PROMPT_CRASHES} crashes, if the runners ended as soon as they had the
 *       request, and no other request explains one of them as well.
 * </ul>
 *
 * <p>One more is needed while many other crashes remain unexplained: when runners end for other
 * reasons, an innocent request that is retried meets several such ends.
 */
public final class CrashAttribution {

    private static final int SUFFICIENT_CRASHES = 3;

    private static final int SUFFICIENT_PROMPT_CRASHES = 2;

    /** Number of other unexplained crashes above which one more crash is needed. */
    private static final int MAX_UNEXPLAINED = 2;

    /** Time before the last crash of a request in which unexplained crashes are counted. */
    private static final long UNEXPLAINED_WINDOW_MS = 60_000;

    /** Best explanation first; the fingerprint makes the order total. */
    private static final Comparator<Candidate> BEST_FIRST =
            Comparator.comparingInt(Candidate::count)
                    .thenComparingInt(Candidate::promptCount)
                    .reversed()
                    .thenComparing(Candidate::fingerprint);

    private final List<CrashReport> crashes;
    private final BitSet unexplained = new BitSet();
    private final Map<RequestFingerprint, Presence> presences = new TreeMap<>();
    private final Map<RequestFingerprint, Blame> blamed = new TreeMap<>();
    private final List<Explanation> explanations = new ArrayList<>();

    /** The crashes, by index, at which a request was present. */
    private record Presence(BitSet all, BitSet prompt) {}

    /** The unexplained crashes at which a request was present. */
    private record Candidate(RequestFingerprint fingerprint, BitSet all, BitSet prompt) {

        int count() {
            return all.cardinality();
        }

        int promptCount() {
            return prompt.cardinality();
        }

        boolean isPrompt() {
            return promptCount() == count();
        }

        boolean rivals(Candidate other) {
            return !fingerprint.equals(other.fingerprint)
                    && count() == other.count()
                    && all.intersects(other.all);
        }
    }

    /**
     * A request that explains crashes.
     *
     * @param sufficientCrashes number of crashes for which it is blamed
     */
    private record Explanation(Candidate candidate, int sufficientCrashes) {}

    private CrashAttribution(List<CrashReport> crashes) {
        this.crashes = crashes;
        for (int i = 0; i < crashes.size(); i++) {
            unexplained.set(i);
            for (Suspect suspect : crashes.get(i).suspects()) {
                Presence presence =
                        presences.computeIfAbsent(
                                suspect.fingerprint(),
                                key -> new Presence(new BitSet(), new BitSet()));
                presence.all().set(i);
                if (suspect.isPrompt()) {
                    presence.prompt().set(i);
                }
            }
        }
        presences.values().removeIf(presence -> presence.all().cardinality() < 2);
    }

    /**
     * Returns the requests that are to blame, by fingerprint.
     *
     * @param crashes one report for each runner, in any order
     */
    public static Collection<Blame> blamed(List<CrashReport> crashes) {
        CrashAttribution attribution = new CrashAttribution(crashes);
        attribution.explain();
        return List.copyOf(attribution.blamed.values());
    }

    private void explain() {
        List<Candidate> candidates = candidates();
        while (!candidates.isEmpty()) {
            Candidate best = candidates.stream().min(BEST_FIRST).orElseThrow();
            List<Candidate> rivals = candidates.stream().filter(best::rivals).toList();
            boolean isAlone = best.isPrompt() && rivals.stream().noneMatch(Candidate::isPrompt);
            explanations.add(
                    new Explanation(
                            best, isAlone ? SUFFICIENT_PROMPT_CRASHES : SUFFICIENT_CRASHES));
            rivals.forEach(rival -> explanations.add(new Explanation(rival, SUFFICIENT_CRASHES)));
            unexplained.andNot(best.all());
            candidates = candidates();
        }
        explanations.stream().filter(this::isSufficient).forEach(this::blame);
    }

    private boolean isSufficient(Explanation explanation) {
        Candidate candidate = explanation.candidate();
        boolean otherReasons = unexplainedBefore(newestAgeMs(candidate)) > MAX_UNEXPLAINED;
        return candidate.count() >= explanation.sufficientCrashes() + (otherReasons ? 1 : 0);
    }

    private List<Candidate> candidates() {
        List<Candidate> candidates = new ArrayList<>();
        presences.forEach(
                (fingerprint, presence) -> {
                    Candidate candidate =
                            new Candidate(
                                    fingerprint,
                                    intersection(presence.all(), unexplained),
                                    intersection(presence.prompt(), unexplained));
                    if (candidate.count() >= 2) {
                        candidates.add(candidate);
                    }
                });
        return candidates;
    }

    private void blame(Explanation explanation) {
        Candidate candidate = explanation.candidate();
        blamed.putIfAbsent(
                candidate.fingerprint(),
                new Blame(candidate.fingerprint(), candidate.count(), newestAgeMs(candidate)));
    }

    private long newestAgeMs(Candidate candidate) {
        return ages(candidate.all()).min().orElseThrow();
    }

    private long unexplainedBefore(long ageMs) {
        return ages(unexplained)
                .filter(other -> other > ageMs && other - ageMs <= UNEXPLAINED_WINDOW_MS)
                .count();
    }

    private LongStream ages(BitSet indexes) {
        return indexes.stream().mapToLong(index -> crashes.get(index).ageMs());
    }

    private static BitSet intersection(BitSet a, BitSet b) {
        BitSet both = (BitSet) a.clone();
        both.and(b);
        return both;
    }
}
