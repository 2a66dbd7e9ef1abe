package org.skylarkmast.relay.storage;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.relay.ledger.ChainOutcome;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.Reservation;
import org.skylarkmast.relay.ledger.ReserveOutcome;
import org.skylarkmast.relay.ledger.TurnRecord;

/** The ledger over storage nodes that are stopped, wiped, added and emptied. */
class StorageNodeClusterTest {
    private static final long RETENTION_MS = 600_000;
    private static final long PATIENCE_MS = 5000;
    private static final long NO_PATIENCE_MS = 1;

    @TempDir private Path folder;

    private static TurnRecord turn(String id, String previous) {
        return new TurnRecord(
                id,
                previous,
                ("in " + id).getBytes(StandardCharsets.UTF_8),
                ("out " + id + "\n").getBytes(StandardCharsets.UTF_8),
                RETENTION_MS);
    }

    private static Reservation claim(String attempt, long budget) {
        return new Reservation("program", attempt, 100, budget, RETENTION_MS);
    }

    private static List<String> ids(ChainOutcome outcome) {
        assertThat(outcome).isInstanceOf(ChainOutcome.Found.class);
        return ((ChainOutcome.Found) outcome).turns().stream().map(TurnRecord::id).toList();
    }

    private static void appendChain(LedgerClient client) throws InterruptedException {
        assertThat(client.append("", turn("t1", ""), 0, PATIENCE_MS)).isTrue();
        assertThat(client.append("", turn("t2", "t1"), 0, PATIENCE_MS)).isTrue();
    }

    @Test
    void aFreshSystemFormsAViewOfAllStorageNodes() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            assertThat(cluster.view().members()).hasSize(3);
        }
    }

    @Test
    void readsChainsOldestFirst() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            assertThat(ids(client.chain("t2", PATIENCE_MS))).containsExactly("t1", "t2").inOrder();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void oneStorageNodeAwayChangesNothing(String away) throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            cluster.stop(away);
            assertThat(ids(client.chain("t2", PATIENCE_MS))).containsExactly("t1", "t2").inOrder();
            assertThat(client.append("", turn("t3", "t2"), 0, PATIENCE_MS)).isTrue();
            assertThat(client.reserve(claim("r1", 150), PATIENCE_MS))
                    .isEqualTo(ReserveOutcome.GRANTED);
            assertThat(client.reserve(claim("r2", 150), PATIENCE_MS))
                    .isEqualTo(ReserveOutcome.HELD);
        }
    }

    @Test
    void saysThatATurnIsAbsentOnlyWithCertainty() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            assertThat(client.chain("none", NO_PATIENCE_MS))
                    .isInstanceOf(ChainOutcome.Absent.class);
            cluster.stop("b");
            assertThat(client.chain("none", NO_PATIENCE_MS))
                    .isInstanceOf(ChainOutcome.Uncertain.class);
        }
    }

    @Test
    void tellsWhetherAQuorumAnswers() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            assertThat(client.reachable()).isFalse();
            client.probe();
            awaitReachable(client);
        }
    }

    private static void awaitReachable(LedgerClient client) {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!client.reachable() && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        assertThat(client.reachable()).isTrue();
    }

    @Test
    void tooFewStorageNodesKeepNothing() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            cluster.stop("a");
            cluster.stop("b");
            assertThat(client.append("", turn("t1", ""), 0, NO_PATIENCE_MS)).isFalse();
            assertThat(client.reserve(claim("r1", 1000), NO_PATIENCE_MS))
                    .isEqualTo(ReserveOutcome.UNAVAILABLE);
        }
    }

    /** Every disk is lost once, one after the other, with time to fetch between. */
    @Test
    void nothingIsLostWhenDisksAreLostInTurn() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            assertThat(client.reserve(claim("r1", 150), PATIENCE_MS))
                    .isEqualTo(ReserveOutcome.GRANTED);
            for (String wiped : List.of("a", "b", "c")) {
                cluster.stop(wiped);
                cluster.wipe(wiped);
                cluster.restart(wiped);
                cluster.settle();
                assertThat(cluster.voting(wiped)).isTrue();
            }
            assertThat(ids(client.chain("t2", PATIENCE_MS))).containsExactly("t1", "t2").inOrder();
            assertThat(client.reserve(claim("r2", 150), PATIENCE_MS))
                    .isEqualTo(ReserveOutcome.HELD);
        }
    }

    @Test
    void aWipedStorageNodeTakesNoPartBeforeItHasFetchedEverything() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            cluster.stop("c");
            appendChain(client);
            cluster.stop("a");
            cluster.wipe("a");
            cluster.restart("a");
            cluster.restart("c");
            cluster.stop("b");
            cluster.settle();
            assertThat(cluster.voting("a")).isFalse();
            assertThat(client.chain("t2", NO_PATIENCE_MS))
                    .isInstanceOf(ChainOutcome.Uncertain.class);
            cluster.restart("b");
            cluster.settle();
            assertThat(cluster.voting("a")).isTrue();
            assertThat(ids(client.chain("t2", PATIENCE_MS))).containsExactly("t1", "t2").inOrder();
        }
    }

    @Test
    void everythingSurvivesAStopOfAllStorageNodes() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            assertThat(client.reserve(claim("r1", 150), PATIENCE_MS))
                    .isEqualTo(ReserveOutcome.GRANTED);
            for (String node : List.of("a", "b", "c")) {
                cluster.stop(node);
            }
            for (String node : List.of("a", "b", "c")) {
                cluster.restart(node);
            }
            assertThat(ids(client.chain("t2", PATIENCE_MS))).containsExactly("t1", "t2").inOrder();
            assertThat(client.reserve(claim("r2", 150), PATIENCE_MS))
                    .isEqualTo(ReserveOutcome.HELD);
        }
    }

    @ParameterizedTest(name = "{0}, then {1} is wiped")
    @CsvSource({"a,b", "b,c", "c,a", "d,a"})
    void anEmptiedStorageNodeLeavesNothingBehind(String retired, String wiped) throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c", "d")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            cluster.retire(retired);
            cluster.settle();
            assertThat(cluster.reports()).contains(retired + " done");
            assertThat(cluster.view().members()).hasSize(3);
            cluster.stop(retired);
            cluster.stop(wiped);
            cluster.wipe(wiped);
            cluster.restart(wiped);
            cluster.settle();
            assertThat(ids(client.chain("t2", PATIENCE_MS))).containsExactly("t1", "t2").inOrder();
        }
    }

    @Test
    void addedStorageNodesHoldWhatWasThereBefore() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            cluster.add("d");
            cluster.settle();
            assertThat(cluster.view().members()).hasSize(4);
            cluster.stop("a");
            assertThat(ids(client.chain("t2", PATIENCE_MS))).containsExactly("t1", "t2").inOrder();
        }
    }

    /**
     * Reservations that compete from several hosts while a storage node is away are never all
     * granted.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5})
    void competingReservationsNeverExceedTheBudget(int round) throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            if (round % 2 == 0) {
                cluster.stop("b");
            }
            List<Callable<ReserveOutcome>> claims = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                LedgerClient client = cluster.client();
                String attempt = "r" + i;
                claims.add(() -> client.reserve(claim(attempt, 250), PATIENCE_MS));
            }
            int granted = 0;
            try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
                for (Future<ReserveOutcome> outcome : executor.invokeAll(claims)) {
                    granted += outcome.get() == ReserveOutcome.GRANTED ? 1 : 0;
                }
            }
            assertThat(granted).isAtMost(2);
        }
    }

    /** With a member lost for good, the new one is needed for a quorum as soon as it is added. */
    @Test
    void aNewStorageNodeHasFetchedBeforeItIsAdded() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            cluster.stop("a");
            cluster.add("d");
            while (cluster.view().members().size() == 3) {
                cluster.round("b");
                cluster.round("c");
                boolean added = cluster.view().members().size() == 4;
                assertThat(added && cluster.turns("d") == 0).isFalse();
                cluster.round("d");
            }
            cluster.round("d");
            assertThat(cluster.voting("d")).isTrue();
            assertThat(client.append("", turn("t3", "t2"), 0, PATIENCE_MS)).isTrue();
        }
    }

    @Test
    void settledTokensAreFreeAgain() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            assertThat(client.reserve(claim("r1", 150), PATIENCE_MS))
                    .isEqualTo(ReserveOutcome.GRANTED);
            assertThat(client.append("program", turn("r1", ""), 40, PATIENCE_MS)).isTrue();
            assertThat(client.reserve(claim("r2", 150), PATIENCE_MS))
                    .isEqualTo(ReserveOutcome.GRANTED);
            assertThat(client.append("program", turn("r2", ""), 60, PATIENCE_MS)).isTrue();
            assertThat(client.reserve(claim("r3", 150), PATIENCE_MS))
                    .isEqualTo(ReserveOutcome.EXHAUSTED);
        }
    }
}
