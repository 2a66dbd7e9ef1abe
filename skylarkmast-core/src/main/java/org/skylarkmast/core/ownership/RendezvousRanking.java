package org.skylarkmast.core.ownership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Ranks nodes for each partition by weighted rendezvous hashing.
 *
 * <p>All nodes that know the same sessions compute the same ranking, and a change of sessions moves
 * only partitions of the nodes that changed. With two or more failure domains, none receives more
 * than {@link #MAX_DOMAIN_SHARE} of the total weight. Immutable.
 */
public final class RendezvousRanking {

    /** Largest share of the partitions intended for one failure domain if there are two or more. */
    public static final double MAX_DOMAIN_SHARE = 0.5;

    /** 2<sup>-53</sup>: scales a 53-bit integer to the range 0 to 1. */
    private static final double UNIT_PER_53_BITS = 0x1.0p-53;

    private final List<Candidate> candidates;

    private record Candidate(String incarnation, String node, long hash, double weight) {}

    private record ScoredCandidate(String incarnation, String node, double score) {}

    /**
     * Creates the ranking of the sessions that are not draining.
     *
     * @param sessions sessions by incarnation
     */
    public RendezvousRanking(Map<String, SessionRecord> sessions) {
        Map<String, Double> weightByDomain = new TreeMap<>();
        double total = 0;
        Map<String, SessionRecord> ready = new TreeMap<>();
        for (Map.Entry<String, SessionRecord> session : sessions.entrySet()) {
            SessionRecord record = session.getValue();
            if (!record.draining()) {
                ready.put(session.getKey(), record);
                weightByDomain.merge(record.failureDomain(), record.weight(), Double::sum);
                total += record.weight();
            }
        }
        Map<String, Double> scale = weightScaleByDomain(weightByDomain, total);
        candidates = new ArrayList<>(ready.size());
        ready.forEach(
                (incarnation, record) ->
                        candidates.add(
                                new Candidate(
                                        incarnation,
                                        record.node(),
                                        hash(record.node()),
                                        record.weight() * scale.get(record.failureDomain()))));
    }

    /** The incarnation that should own {@code partition}, or null if there is none. */
    public String desiredOwner(int partition) {
        Candidate best = null;
        double bestScore = 0;
        for (Candidate candidate : candidates) {
            double score = score(candidate, partition);
            if (best == null || score > bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return best == null ? null : best.incarnation;
    }

    /** The rank of {@code incarnation} for {@code partition}, 0 for the first; -1 if not ranked. */
    public int rank(String incarnation, int partition) {
        List<ScoredCandidate> scored = new ArrayList<>(candidates.size());
        for (Candidate candidate : candidates) {
            scored.add(
                    new ScoredCandidate(
                            candidate.incarnation, candidate.node, score(candidate, partition)));
        }
        scored.sort(
                Comparator.comparingDouble(ScoredCandidate::score)
                        .reversed()
                        .thenComparing(ScoredCandidate::incarnation));
        for (int rank = 0; rank < scored.size(); rank++) {
            if (scored.get(rank).incarnation.equals(incarnation)) {
                return rank;
            }
        }
        return -1;
    }

    private static Map<String, Double> weightScaleByDomain(
            Map<String, Double> weightByDomain, double total) {
        Map<String, Double> scale = new HashMap<>();
        for (Map.Entry<String, Double> domain : weightByDomain.entrySet()) {
            double otherWeight = total - domain.getValue();
            double maxWeight = otherWeight * MAX_DOMAIN_SHARE / (1 - MAX_DOMAIN_SHARE);
            boolean capped = otherWeight > 0 && domain.getValue() > maxWeight;
            scale.put(domain.getKey(), capped ? maxWeight / domain.getValue() : 1.0);
        }
        return scale;
    }

    private static double score(Candidate candidate, int partition) {
        long mixed = mix(candidate.hash ^ mix(partition + 0x9E3779B97F4A7C15L));
        double uniform = ((mixed >>> 11) + 0.5) * UNIT_PER_53_BITS;
        return -candidate.weight / StrictMath.log(uniform);
    }

    /** 64-bit FNV-1a of the name in UTF-8, passed through {@link #mix}. */
    private static long hash(String name) {
        long hash = 0xCBF29CE484222325L;
        for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xFF)) * 0x100000001B3L;
        }
        return mix(hash);
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
