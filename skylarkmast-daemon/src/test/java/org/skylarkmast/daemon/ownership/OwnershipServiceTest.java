package org.skylarkmast.daemon.ownership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.OwnershipSettings;
import org.skylarkmast.daemon.sim.FakeStore;
import org.skylarkmast.daemon.sim.SimulatedNode;
import org.skylarkmast.daemon.sim.Simulation;

class OwnershipServiceTest {
    private static final OwnershipSettings SETTINGS = OwnershipSettings.withClaimGrace(2_000);

    private final Simulation simulation = new Simulation(7);
    private final FakeStore store = new FakeStore(simulation);
    private final List<SimulatedNode> cluster = new ArrayList<>();

    private SimulatedNode a;
    private SimulatedNode b;

    @BeforeEach
    void startTwoNodes() {
        a = new SimulatedNode(simulation, store, "a", "north", SETTINGS, cluster);
        b = new SimulatedNode(simulation, store, "b", "south", SETTINGS, cluster);
        a.start();
        b.start();
        simulation.runMs(2_000);
    }

    @Test
    void everyPartitionIsServedByExactlyOneNode() {
        assertEachPartitionServedOnce();
        assertThat(a.serving.size()).isGreaterThan(ProgramKey.PARTITIONS / 4);
        assertThat(b.serving.size()).isGreaterThan(ProgramKey.PARTITIONS / 4);
        for (int partition : a.serving) {
            assertThat(b.ownership.ownerOf(partition).orElseThrow().node()).isEqualTo("a");
            assertThat(a.ownership.ownedHere(partition, simulation.nowNs())).isTrue();
            assertThat(b.ownership.ownedHere(partition, simulation.nowNs())).isFalse();
        }
    }

    @Test
    void pausedOwnerCannotCommitAfterTakeover() {
        int partition = a.serving.first();
        a.append(partition, "before");
        simulation.runMs(100);
        simulation.pause("a", 30_000);
        simulation.runMs(20_000);
        assertThat(b.serving).contains(partition);
        assertThat(SimulatedNode.texts(b.replays.get(partition).records()))
                .containsExactly("before");
        b.append(partition, "by the new owner");
        a.append(partition, "by the paused owner");
        simulation.runMs(15_000);
        assertThat(a.fenced).containsExactly("by the paused owner");
        assertThat(b.committed).containsExactly("by the new owner");
    }

    @Test
    void pausedOwnerTreatsItsLeaseAsExpiredBeforeItExpires() {
        int partition = a.serving.first();
        simulation.pause("a", 30_000);
        simulation.runMs(SimulatedNode.TTL_MS);
        assertThat(a.ownership.ownedHere(partition, simulation.nowNs())).isFalse();
        assertThat(a.ownership.heldHere(partition)).isTrue();
    }

    @Test
    void ownersReacquireTheirPartitionsAfterAllLeasesExpire() {
        TreeSet<Integer> heldByA = new TreeSet<>(a.serving);
        store.expireLeases();
        simulation.runMs(4_000);
        assertThat(a.serving).containsExactlyElementsIn(heldByA);
        assertThat(a.notifications.stream().filter(line -> line.startsWith("reacquired")).count())
                .isEqualTo(heldByA.size());
        assertThat(a.notifications.stream().noneMatch(line -> line.startsWith("lost"))).isTrue();
        assertEachPartitionServedOnce();
    }

    @Test
    void expiryReportedByTheWatchReopensTheSessionBeforeTheNextRenewal() {
        int partition = a.serving.first();
        simulation.runMs(200);
        store.expireLeases();
        simulation.runMs(60);
        assertThat(a.ownership.ownedHere(partition, simulation.nowNs())).isTrue();
        assertThat(a.notifications).contains("reacquired " + partition);
    }

    @Test
    void ownersAndDirectoryAreUnchangedByAnOutage() {
        TreeSet<Integer> heldByA = new TreeSet<>(a.serving);
        store.setDown(true);
        simulation.runMs(60_000);
        assertThat(a.serving).containsExactlyElementsIn(heldByA);
        assertThat(b.ownership.ownerOf(heldByA.first()).orElseThrow().node()).isEqualTo("a");
        store.setDown(false);
        simulation.runMs(6_000);
        assertThat(a.serving).containsExactlyElementsIn(heldByA);
        assertEachPartitionServedOnce();
    }

    @Test
    void drainingNodeHandsOverAllPartitionsWithTheirRecords() {
        int partition = a.serving.first();
        a.append(partition, "one");
        boolean[] drained = {false};
        a.ownership.drain(() -> drained[0] = true);
        simulation.runMs(5_000);
        assertThat(drained[0]).isTrue();
        assertThat(b.serving).hasSize(ProgramKey.PARTITIONS);
        assertThat(SimulatedNode.texts(b.replays.get(partition).records())).containsExactly("one");
    }

    @Test
    void handOverWaitsForTheLastRecordWhenTheStoreIsSlow() {
        int partition = a.serving.first();
        simulation.setMaxLatencyMs(400);
        for (int record = 0; record < 20; record++) {
            a.append(partition, "r" + record);
            simulation.runMs(20);
        }
        a.ownership.drain(() -> {});
        simulation.runMs(60_000);
        assertThat(a.fenced).isEmpty();
        assertThat(a.committed).hasSize(20);
        assertThat(b.serving).contains(partition);
        assertThat(SimulatedNode.texts(b.replays.get(partition).records()))
                .containsExactlyElementsIn(a.committed)
                .inOrder();
    }

    @ParameterizedTest
    @EnumSource(
            value = FakeStore.Fault.class,
            names = {"LOSE_ANSWER", "LOSE_REQUEST", "DELAY", "REFUSE"})
    void everyPartitionHasOneOwnerAfterFaultsInTransactions(FakeStore.Fault fault) {
        store.setFaults((txn, sim) -> sim.random().nextInt(2) == 0 ? fault : FakeStore.Fault.NONE);
        SimulatedNode c = new SimulatedNode(simulation, store, "c", "east", SETTINGS, cluster);
        c.start();
        simulation.runMs(15_000);
        simulation.pause("b", 15_000);
        simulation.runMs(15_000);
        store.setFaults((txn, sim) -> FakeStore.Fault.NONE);
        simulation.runMs(40_000);
        assertEachPartitionServedOnce();
        assertThat(c.serving).isNotEmpty();
    }

    @Test
    void directoryIsReadAgainAfterTheWatchIsLost() {
        store.dropWatches();
        simulation.pause("a", 30_000);
        simulation.runMs(20_000);
        assertThat(b.serving).hasSize(ProgramKey.PARTITIONS);
    }

    private void assertEachPartitionServedOnce() {
        TreeSet<Integer> served = new TreeSet<>();
        int total = 0;
        for (SimulatedNode node : cluster) {
            served.addAll(node.serving);
            total += node.serving.size();
        }
        assertThat(served).hasSize(ProgramKey.PARTITIONS);
        assertThat(total).isEqualTo(ProgramKey.PARTITIONS);
    }
}
