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
 * <p>All nodes that see the same sessions compute the same ranking, and a change of sessions moves
 * only partitions of the nodes that changed. With two or more failure domains none gets more than
 * {@link #MAX_DOMAIN_SHARE} of the weight. Immutable.
 */
public final class RendezvousRanking {

    /** Most of the partitions that one failure domain is meant to own where there are others. */
    public static final double MAX_DOMAIN_SHARE = 0.5;

    private static final double UNIT = 0x1.0p-53;

    private final List<Candidate> candidates;

    private record Candidate(String incarnation, String node, long hash, double weight) {}

    private record Scored(String incarnation, String node, double score) {}

    /**
     * Creates the ranking of live sessions; those draining are left out.
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
        Map<String, Double> scale = domainScale(weightByDomain, total);
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

    /** The place of {@code incarnation} for {@code partition}, 0 for first; -1 if not ranked. */
    public int rank(String incarnation, int partition) {
        List<Scored> scored = new ArrayList<>(candidates.size());
        for (Candidate candidate : candidates) {
            scored.add(
                    new Scored(candidate.incarnation, candidate.node, score(candidate, partition)));
        }
        scored.sort(
                Comparator.comparingDouble(Scored::score)
                        .reversed()
                        .thenComparing(Scored::incarnation));
        for (int rank = 0; rank < scored.size(); rank++) {
            if (scored.get(rank).incarnation.equals(incarnation)) {
                return rank;
            }
        }
        return -1;
    }

    private static Map<String, Double> domainScale(
            Map<String, Double> weightByDomain, double total) {
        Map<String, Double> scale = new HashMap<>();
        for (Map.Entry<String, Double> domain : weightByDomain.entrySet()) {
            double others = total - domain.getValue();
            double most = others * MAX_DOMAIN_SHARE / (1 - MAX_DOMAIN_SHARE);
            boolean capped = others > 0 && domain.getValue() > most;
            scale.put(domain.getKey(), capped ? most / domain.getValue() : 1.0);
        }
        return scale;
    }

    private static double score(Candidate candidate, int partition) {
        long mixed = mix(candidate.hash ^ mix(partition + 0x9E3779B97F4A7C15L));
        double uniform = ((mixed >>> 11) + 0.5) * UNIT;
        return -candidate.weight / StrictMath.log(uniform);
    }

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
