package org.skylarkmast.daemon.ownership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.OwnershipSettings;
import org.skylarkmast.daemon.journal.JournalReader;
import org.skylarkmast.daemon.sim.FakeStore;
import org.skylarkmast.daemon.sim.SimulatedNode;
import org.skylarkmast.daemon.sim.Simulation;

/**
 * Guards against lost, duplicated or reordered records while nodes pause, answers are lost, leases
 * expire and the key-value service is down, in random interleavings.
 */
class InterleavingTest {
    private static final OwnershipSettings SETTINGS = OwnershipSettings.withClaimGrace(1_000);
    private static final int ROUNDS = 300;

    /** Few partitions, so that each of them is often appended to while its owner changes. */
    private static final int APPENDED_PARTITIONS = 6;

    static LongStream seeds() {
        return new Random(20261203).longs(40);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void committedRecordsAreReplayedOnceAndInOrder(long seed) {
        Simulation simulation = new Simulation(seed);
        FakeStore store = new FakeStore(simulation);
        List<SimulatedNode> cluster = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            new SimulatedNode(simulation, store, name, name, SETTINGS, cluster).start();
        }
        simulation.runMs(1_500);
        Random random = simulation.random();
        int faultPercent = random.nextInt(40);
        store.setFaults((txn, sim) -> fault(random, faultPercent));
        for (int round = 0; round < ROUNDS; round++) {
            injectDisturbance(simulation, store, cluster, random);
            for (SimulatedNode node : cluster) {
                int partition = random.nextInt(APPENDED_PARTITIONS);
                if (node.serving.contains(partition)) {
                    long epoch = node.epochs.get(partition);
                    node.append(partition, node.name + " " + epoch + " " + round);
                }
                if (random.nextInt(20) == 0) {
                    node.snapshot(random.nextInt(APPENDED_PARTITIONS));
                }
            }
            simulation.runMs(random.nextInt(200));
        }
        store.setFaults((txn, sim) -> FakeStore.Fault.NONE);
        store.setDown(false);
        simulation.runMs(60_000);
        assertConsistent(store, cluster);
    }

    private static FakeStore.Fault fault(Random random, int faultPercent) {
        FakeStore.Fault[] faults = FakeStore.Fault.values();
        return random.nextInt(100) < faultPercent
                ? faults[random.nextInt(faults.length)]
                : FakeStore.Fault.NONE;
    }

    private static void injectDisturbance(
            Simulation simulation, FakeStore store, List<SimulatedNode> cluster, Random random) {
        SimulatedNode node = cluster.get(random.nextInt(cluster.size()));
        switch (random.nextInt(60)) {
            case 0 -> simulation.pause(node.name, random.nextInt(8_000));
            case 1 -> store.expireLeases();
            case 2 -> store.setDown(true);
            case 3, 4, 5, 6 -> store.setDown(false);
            case 7 -> store.dropWatches();
            case 8 -> simulation.setMaxLatencyMs(1 + random.nextInt(300));
            default -> {}
        }
    }

    private static void assertConsistent(FakeStore store, List<SimulatedNode> cluster) {
        Set<String> replayed = new HashSet<>();
        for (int partition = 0; partition < APPENDED_PARTITIONS; partition++) {
            List<String> contents = contents(store, cluster, partition);
            Set<String> distinct = new HashSet<>(contents);
            assertWithMessage("records replayed more than once")
                    .that(contents)
                    .hasSize(distinct.size());
            replayed.addAll(distinct);
            assertEpochsDoNotInterleave(contents);
            for (SimulatedNode node : cluster) {
                List<String> replayedOfNode =
                        contents.stream().filter(node.committed::contains).toList();
                List<String> reported = node.committed.stream().filter(distinct::contains).toList();
                assertThat(reported).containsExactlyElementsIn(replayedOfNode).inOrder();
            }
        }
        for (SimulatedNode node : cluster) {
            assertWithMessage("records committed but not replayed")
                    .that(replayed)
                    .containsAtLeastElementsIn(node.committed);
            assertThat(node.committed).containsNoDuplicates();
        }
        for (int partition = 0; partition < ProgramKey.PARTITIONS; partition++) {
            int servedPartition = partition;
            assertWithMessage(
                            "nodes that serve partition %s, by node: %s",
                            partition, histories(cluster, partition))
                    .that(
                            cluster.stream()
                                    .filter(node -> node.serving.contains(servedPartition))
                                    .count())
                    .isEqualTo(1);
        }
    }

    private static List<String> histories(List<SimulatedNode> cluster, int partition) {
        return cluster.stream()
                .map(
                        node ->
                                node.session.incarnation()
                                        + " "
                                        + node.ownership.ownerOf(partition)
                                        + " "
                                        + node.notifications.stream()
                                                .filter(line -> line.endsWith(" " + partition))
                                                .toList())
                .toList();
    }

    private static void assertEpochsDoNotInterleave(List<String> contents) {
        long lastEpoch = 0;
        String lastNode = "";
        for (String text : contents) {
            String[] parts = text.split(" ", -1);
            long epoch = Long.parseLong(parts[1]);
            assertWithMessage("%s", contents).that(epoch).isAtLeast(lastEpoch);
            if (epoch == lastEpoch) {
                assertWithMessage("%s", contents).that(parts[0]).isEqualTo(lastNode);
            }
            lastEpoch = epoch;
            lastNode = parts[0];
        }
    }

    private static List<String> contents(
            FakeStore store, List<SimulatedNode> cluster, int partition) {
        JournalReader reader = new JournalReader(store, SimulatedNode.copiesIn(cluster));
        var outcome = (JournalReader.ReadOutcome.Read) reader.read(partition);
        return SimulatedNode.contents(outcome.state().replay());
    }
}
