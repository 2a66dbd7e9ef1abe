package org.skylarkmast.core.ownership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.skylarkmast.core.ownership.OwnershipAction.Claim;
import org.skylarkmast.core.ownership.OwnershipAction.HandOver;
import org.skylarkmast.core.ownership.OwnershipAction.Lost;
import org.skylarkmast.core.ownership.OwnershipAction.Reacquired;
import org.skylarkmast.core.ownership.OwnershipAction.ReadJournal;
import org.skylarkmast.core.ownership.OwnershipAction.Release;
import org.skylarkmast.core.ownership.OwnershipEvent.RecordSeen;

class OwnershipMachineTest {
    private static final int PARTITIONS = 64;
    private static final long MS = 1_000_000L;
    private static final OwnershipSettings SETTINGS =
            new OwnershipSettings(200, 2_000, 1_000, 3_000, 500, 4, 32);

    private final OwnershipMachine machine = new OwnershipMachine(PARTITIONS, SETTINGS);
    private final List<OwnershipAction> actions = new ArrayList<>();

    private long nowMs = 10_000;
    private long revision = 10;

    /** Sessions that vanish at once, and the grace before the first claim. */
    @ParameterizedTest
    @CsvSource({"1, 200", "2, 200", "3, 200", "4, 2000", "6, 2000"})
    void claimsWaitLongerWhenMostSessionsVanishAtOnce(int vanished, long graceMs) {
        openWithPeers(6);
        for (int peer = 1; peer <= 6; peer++) {
            own(peer, "peer" + peer);
        }
        tickFor(1_000);
        actions.clear();
        for (int peer = 1; peer <= vanished; peer++) {
            on(new OwnershipEvent.SessionGone("peer" + peer));
        }
        tickFor(graceMs - 100);
        assertThat(of(Claim.class)).isEmpty();
        tickFor(7_000);
        assertThat(of(Claim.class)).isNotEmpty();
    }

    @Test
    void reclaimIsReacquiredOnlyIfNobodyOwnedThePartitionMeanwhile() {
        openWithPeers(1);
        hold(1, 5);
        hold(2, 5);
        on(new OwnershipEvent.SessionLost());
        assertThat(machine.holds(1)).isTrue();
        assertThat(machine.owns(1)).isFalse();
        on(new OwnershipEvent.SessionOpened("self-2", session("self")));
        assertThat(of(Claim.class).getLast().requests()).hasSize(2);
        actions.clear();
        see(1, "self-2", 6);
        see(2, "self-2", 7);
        assertThat(of(Reacquired.class)).hasSize(1);
        assertThat(of(Reacquired.class).getFirst().partition()).isEqualTo(1);
        assertThat(of(Lost.class)).containsExactly(new Lost(2));
        assertThat(of(ReadJournal.class)).hasSize(1);
        assertThat(machine.owns(1)).isTrue();
    }

    @Test
    void partitionClaimedByAnotherIsLost() {
        openWithPeers(1);
        hold(1, 5);
        see(1, "peer1", 6);
        assertThat(of(Lost.class)).containsExactly(new Lost(1));
        assertThat(machine.holds(1)).isFalse();
    }

    @Test
    void reportsThatArriveLateChangeNothing() {
        openWithPeers(1);
        hold(1, 5);
        on(new RecordSeen(1, Optional.of(record("peer1", 4)), revision - 1));
        assertThat(of(Lost.class)).isEmpty();
        assertThat(machine.owns(1)).isTrue();
    }

    @Test
    void fewPartitionsMoveAtATimeAndOnlyWhileSessionsAreStable() {
        openWithPeers(1);
        for (int partition = 0; partition < PARTITIONS; partition++) {
            hold(partition, 1);
        }
        actions.clear();
        tickFor(2_900);
        assertThat(of(Release.class)).isEmpty();
        tickFor(1_000);
        assertThat(of(Release.class)).hasSize(SETTINGS.handOversAtOnce());
        Release first = of(Release.class).getFirst();
        on(new OwnershipEvent.Quiet(first.partition(), first.claimRevision()));
        HandOver handOver = of(HandOver.class).getFirst();
        assertThat(handOver.record().incarnation()).isEqualTo("peer1");
        assertThat(handOver.record().epoch()).isEqualTo(2);
        see(first.partition(), "peer1", 2);
        tickFor(100);
        assertThat(of(Release.class)).hasSize(SETTINGS.handOversAtOnce() + 1);
    }

    @Test
    void handOverWhoseTargetIsGoneIsTakenBack() {
        openWithPeers(1);
        for (int partition = 0; partition < PARTITIONS; partition++) {
            hold(partition, 1);
        }
        tickFor(4_000);
        Release release = of(Release.class).getFirst();
        on(new OwnershipEvent.SessionGone("peer1"));
        on(new OwnershipEvent.Quiet(release.partition(), release.claimRevision()));
        assertThat(of(HandOver.class)).isEmpty();
        assertThat(of(Reacquired.class)).hasSize(1);
        assertThat(machine.owns(release.partition())).isTrue();
    }

    @Test
    void drainingNodeReleasesEverythingAndClaimsNothing() {
        openWithPeers(1);
        hold(1, 5);
        on(new OwnershipEvent.DrainStarted());
        actions.clear();
        tickFor(20_000);
        assertThat(of(Release.class)).hasSize(1);
        assertThat(of(Claim.class)).isEmpty();
    }

    private void openWithPeers(int peers) {
        on(new OwnershipEvent.SessionOpened("self-1", session("self")));
        for (int peer = 1; peer <= peers; peer++) {
            on(new OwnershipEvent.SessionSeen("peer" + peer, session("peer" + peer)));
        }
        for (int partition = 0; partition < PARTITIONS; partition++) {
            own(partition, "peer1");
        }
        on(new OwnershipEvent.DirectoryRead());
    }

    private void hold(int partition, long epoch) {
        see(partition, "self-1", epoch);
        on(new OwnershipEvent.JournalRead(partition, revision));
    }

    private void own(int partition, String incarnation) {
        see(partition, incarnation, 1);
    }

    private void see(int partition, String incarnation, long epoch) {
        revision++;
        on(new RecordSeen(partition, Optional.of(record(incarnation, epoch)), revision));
    }

    private static OwnerRecord record(String incarnation, long epoch) {
        return new OwnerRecord(incarnation, incarnation, incarnation + ":1", epoch);
    }

    private static SessionRecord session(String node) {
        return new SessionRecord(node, node, node + ":1", 1, false);
    }

    private void tickFor(long ms) {
        long untilMs = nowMs + ms;
        while (nowMs < untilMs) {
            nowMs = Math.min(untilMs, nowMs + 100);
            on(new OwnershipEvent.Tick());
        }
    }

    private void on(OwnershipEvent event) {
        actions.addAll(machine.on(event, nowMs * MS));
    }

    private <T extends OwnershipAction> List<T> of(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
