package org.skylarkmast.core.ownership;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RendezvousRankingTest {
    private static final int PARTITIONS = 4_096;

    /** Each node is written as its failure domain followed by its weight. */
    @ParameterizedTest
    @CsvSource({"a1 a1 b1 b1 c1 c1 d1", "a1 b2 c3", "a1 a1 b1 b1 c1 c1 c1"})
    void nodesOwnPartitionsInProportionToTheirWeight(String nodes) {
        Map<String, SessionRecord> sessions = sessions(nodes);
        double total = sessions.values().stream().mapToDouble(SessionRecord::weight).sum();
        Map<String, Integer> ownedPartitions = ownedPartitions(sessions);
        sessions.forEach(
                (incarnation, session) -> {
                    double expected = PARTITIONS * session.weight() / total;
                    assertThat((double) ownedPartitions.get(incarnation))
                            .isWithin(expected * 0.2)
                            .of(expected);
                });
    }

    @Test
    void noFailureDomainExceedsTheMaximumShare() {
        Map<String, Integer> ownedPartitions = ownedPartitions(sessions("a1 a1 a1 a1 a1 b1"));
        assertThat((double) ownedPartitions.get("n5-1") / PARTITIONS).isWithin(0.05).of(0.5);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c", "d"})
    void lossOfAFailureDomainMovesOnlyThePartitionsOfThatDomain(String domain) {
        Map<String, SessionRecord> before = sessions("a1 a1 b1 b1 c1 c1 d1");
        Map<String, SessionRecord> after = new HashMap<>(before);
        after.values().removeIf(session -> session.failureDomain().equals(domain));
        RendezvousRanking rankingBefore = new RendezvousRanking(before);
        RendezvousRanking rankingAfter = new RendezvousRanking(after);
        for (int partition = 0; partition < PARTITIONS; partition++) {
            String owner = rankingBefore.desiredOwner(partition);
            if (after.containsKey(owner)) {
                assertThat(rankingAfter.desiredOwner(partition)).isEqualTo(owner);
            }
        }
    }

    @Test
    void restartedNodeIsDesiredOwnerOfTheSamePartitions() {
        Map<String, SessionRecord> sessions = sessions("a1 b1 c1");
        RendezvousRanking before = new RendezvousRanking(sessions);
        sessions.put("n0-2", sessions.remove("n0-1"));
        RendezvousRanking after = new RendezvousRanking(sessions);
        for (int partition = 0; partition < PARTITIONS; partition++) {
            assertThat(after.desiredOwner(partition).replace("n0-2", "n0-1"))
                    .isEqualTo(before.desiredOwner(partition));
        }
    }

    @Test
    void drainingNodeIsNotRanked() {
        Map<String, SessionRecord> sessions = sessions("a1 b1");
        sessions.computeIfPresent("n0-1", (incarnation, session) -> session.asDraining());
        assertThat(ownedPartitions(sessions)).doesNotContainKey("n0-1");
        assertThat(new RendezvousRanking(sessions).rank("n0-1", 1)).isEqualTo(-1);
    }

    @Test
    void firstRankedNodeIsTheDesiredOwner() {
        RendezvousRanking ranking = new RendezvousRanking(sessions("a1 b2 c3"));
        for (int partition = 0; partition < PARTITIONS; partition++) {
            assertThat(ranking.rank(ranking.desiredOwner(partition), partition)).isEqualTo(0);
        }
    }

    private static Map<String, SessionRecord> sessions(String nodes) {
        Map<String, SessionRecord> sessions = new LinkedHashMap<>();
        for (String node : nodes.split(" ", -1)) {
            String name = "n" + sessions.size();
            double weight = Double.parseDouble(node.substring(1));
            sessions.put(
                    name + "-1",
                    new SessionRecord(name, node.substring(0, 1), name + ":1", weight, false));
        }
        return sessions;
    }

    private static Map<String, Integer> ownedPartitions(Map<String, SessionRecord> sessions) {
        RendezvousRanking ranking = new RendezvousRanking(sessions);
        Map<String, Integer> ownedPartitions = new HashMap<>();
        for (int partition = 0; partition < PARTITIONS; partition++) {
            ownedPartitions.merge(ranking.desiredOwner(partition), 1, Integer::sum);
        }
        return ownedPartitions;
    }
}
