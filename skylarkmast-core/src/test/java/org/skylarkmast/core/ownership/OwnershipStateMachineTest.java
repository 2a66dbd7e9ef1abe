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

class OwnershipStateMachineTest {
    private static final int PARTITIONS = 64;
    private static final long MS = 1_000_000L;
    private static final OwnershipSettings SETTINGS =
            new OwnershipSettings(200, 2_000, 1_000, 3_000, 500, 4, 32);

    private final OwnershipStateMachine machine = new OwnershipStateMachine(PARTITIONS, SETTINGS);
    private final List<OwnershipAction> actions = new ArrayList<>();

    private long nowMs = 10_000;
    private long revision = 10;

    /** Parameters: number of sessions lost at once, and the grace period before the first claim. */
    @ParameterizedTest
    @CsvSource({"1, 200", "2, 200", "3, 200", "4, 2000", "6, 2000"})
    void claimsAreDelayedLongerIfMostSessionsAreLostAtOnce(int lost, long graceMs) {
        openSessionWithPeers(6);
        for (int peer = 1; peer <= 6; peer++) {
            recordOwner(peer, "peer" + peer);
        }
        tickFor(1_000);
        actions.clear();
        for (int peer = 1; peer <= lost; peer++) {
            on(new OwnershipEvent.SessionGone("peer" + peer));
        }
        tickFor(graceMs - 100);
        assertThat(actionsOf(Claim.class)).isEmpty();
        tickFor(7_000);
        assertThat(actionsOf(Claim.class)).isNotEmpty();
    }

    @Test
    void reclaimedPartitionIsReacquiredOnlyIfNoOtherNodeOwnedItMeanwhile() {
        openSessionWithPeers(1);
        acquire(1, 5);
        acquire(2, 5);
        on(new OwnershipEvent.SessionLost());
        assertThat(machine.holds(1)).isTrue();
        assertThat(machine.owns(1)).isFalse();
        on(new OwnershipEvent.SessionOpened("self-2", session("self")));
        assertThat(actionsOf(Claim.class).getLast().requests()).hasSize(2);
        actions.clear();
        recordSeen(1, "self-2", 6);
        recordSeen(2, "self-2", 7);
        assertThat(actionsOf(Reacquired.class)).hasSize(1);
        assertThat(actionsOf(Reacquired.class).getFirst().partition()).isEqualTo(1);
        assertThat(actionsOf(Lost.class)).containsExactly(new Lost(2));
        assertThat(actionsOf(ReadJournal.class)).hasSize(1);
        assertThat(machine.owns(1)).isTrue();
    }

    @Test
    void partitionClaimedByAnotherNodeIsLost() {
        openSessionWithPeers(1);
        acquire(1, 5);
        recordSeen(1, "peer1", 6);
        assertThat(actionsOf(Lost.class)).containsExactly(new Lost(1));
        assertThat(machine.holds(1)).isFalse();
    }

    @Test
    void recordOfAnOlderRevisionIsIgnored() {
        openSessionWithPeers(1);
        acquire(1, 5);
        on(new RecordSeen(1, Optional.of(record("peer1", 4)), revision - 1));
        assertThat(actionsOf(Lost.class)).isEmpty();
        assertThat(machine.owns(1)).isTrue();
    }

    @Test
    void handOversAreLimitedAndStartOnlyAfterSessionsAreStable() {
        openSessionWithPeers(1);
        for (int partition = 0; partition < PARTITIONS; partition++) {
            acquire(partition, 1);
        }
        actions.clear();
        tickFor(2_900);
        assertThat(actionsOf(Release.class)).isEmpty();
        tickFor(1_000);
        assertThat(actionsOf(Release.class)).hasSize(SETTINGS.maxConcurrentHandOvers());
        Release first = actionsOf(Release.class).getFirst();
        on(new OwnershipEvent.Quiesced(first.partition(), first.claimRevision()));
        HandOver handOver = actionsOf(HandOver.class).getFirst();
        assertThat(handOver.record().incarnation()).isEqualTo("peer1");
        assertThat(handOver.record().epoch()).isEqualTo(2);
        recordSeen(first.partition(), "peer1", 2);
        tickFor(100);
        assertThat(actionsOf(Release.class)).hasSize(SETTINGS.maxConcurrentHandOvers() + 1);
    }

    @Test
    void handOverIsAbandonedIfTheTargetSessionIsLost() {
        openSessionWithPeers(1);
        for (int partition = 0; partition < PARTITIONS; partition++) {
            acquire(partition, 1);
        }
        tickFor(4_000);
        Release release = actionsOf(Release.class).getFirst();
        on(new OwnershipEvent.SessionGone("peer1"));
        on(new OwnershipEvent.Quiesced(release.partition(), release.claimRevision()));
        assertThat(actionsOf(HandOver.class)).isEmpty();
        assertThat(actionsOf(Reacquired.class)).hasSize(1);
        assertThat(machine.owns(release.partition())).isTrue();
    }

    @Test
    void drainingNodeReleasesAllPartitionsAndClaimsNone() {
        openSessionWithPeers(1);
        acquire(1, 5);
        on(new OwnershipEvent.DrainStarted());
        actions.clear();
        tickFor(20_000);
        assertThat(actionsOf(Release.class)).hasSize(1);
        assertThat(actionsOf(Claim.class)).isEmpty();
    }

    private void openSessionWithPeers(int peers) {
        on(new OwnershipEvent.SessionOpened("self-1", session("self")));
        for (int peer = 1; peer <= peers; peer++) {
            on(new OwnershipEvent.SessionSeen("peer" + peer, session("peer" + peer)));
        }
        for (int partition = 0; partition < PARTITIONS; partition++) {
            recordOwner(partition, "peer1");
        }
        on(new OwnershipEvent.DirectoryRead());
    }

    private void acquire(int partition, long epoch) {
        recordSeen(partition, "self-1", epoch);
        on(new OwnershipEvent.JournalRead(partition, revision));
    }

    private void recordOwner(int partition, String incarnation) {
        recordSeen(partition, incarnation, 1);
    }

    private void recordSeen(int partition, String incarnation, long epoch) {
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

    private <T extends OwnershipAction> List<T> actionsOf(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
