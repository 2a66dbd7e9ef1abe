package org.skylarkmast.relay.storage;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
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
import org.skylarkmast.relay.ledger.StreamOrigin;
import org.skylarkmast.relay.ledger.TurnRecord;

/** Tests the ledger while storage nodes are stopped, wiped, added and retired. */
class StorageNodeClusterTest {
    private static final long RETENTION_MS = 600_000;
    private static final long TIMEOUT_MS = 5000;
    private static final long TIME_LIMIT_MS = 4000;
    private static final long NO_RETRY_MS = 1;

    @TempDir private Path folder;

    private static TurnRecord turn(String id, String previous) {
        return new TurnRecord(
                id,
                previous,
                ("in " + id).getBytes(StandardCharsets.UTF_8),
                ("out " + id + "\n").getBytes(StandardCharsets.UTF_8),
                RETENTION_MS);
    }

    private static Reservation reservation(String attempt, long budget) {
        return new Reservation(
                "program", attempt, 100, budget, RETENTION_MS, null, "", TIME_LIMIT_MS);
    }

    private static List<String> ids(ChainOutcome outcome) {
        assertThat(outcome).isInstanceOf(ChainOutcome.Found.class);
        return ((ChainOutcome.Found) outcome).turns().stream().map(TurnRecord::id).toList();
    }

    private static void appendChain(LedgerClient client) throws InterruptedException {
        assertThat(client.append("", turn("t1", ""), 0, TIMEOUT_MS)).isTrue();
        assertThat(client.append("", turn("t2", "t1"), 0, TIMEOUT_MS)).isTrue();
    }

    @Test
    void newSystemFormsAViewOfAllStorageNodes() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            assertThat(cluster.view().members()).hasSize(3);
        }
    }

    @Test
    void readsChainsOldestFirst() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            assertThat(ids(client.chain("t2", TIMEOUT_MS))).containsExactly("t1", "t2").inOrder();
        }
    }

    @Test
    void readsChainsThatAreTooLongForOneResponse() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                String previous = i == 0 ? "" : ids.getLast();
                ids.add("t" + i);
                byte[] text = new byte[900_000];
                TurnRecord turn =
                        new TurnRecord("t" + i, previous, text, new byte[0], RETENTION_MS);
                assertThat(client.append("", turn, 0, TIMEOUT_MS)).isTrue();
            }
            assertThat(ids(client.chain("t19", TIMEOUT_MS)))
                    .containsExactlyElementsIn(ids)
                    .inOrder();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void ledgerWorksWithOneStorageNodeDown(String stopped) throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            cluster.stop(stopped);
            assertThat(ids(client.chain("t2", TIMEOUT_MS))).containsExactly("t1", "t2").inOrder();
            assertThat(client.append("", turn("t3", "t2"), 0, TIMEOUT_MS)).isTrue();
            assertThat(client.reserve(reservation("r1", 150), TIMEOUT_MS).outcome())
                    .isEqualTo(ReserveOutcome.GRANTED);
            assertThat(client.reserve(reservation("r2", 150), TIMEOUT_MS).outcome())
                    .isEqualTo(ReserveOutcome.HELD);
        }
    }

    @Test
    void reportsATurnAbsentOnlyIfAnAbsenceQuorumAnswers() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            assertThat(client.chain("none", NO_RETRY_MS)).isInstanceOf(ChainOutcome.Absent.class);
            cluster.stop("b");
            assertThat(client.chain("none", NO_RETRY_MS))
                    .isInstanceOf(ChainOutcome.Uncertain.class);
        }
    }

    @Test
    void isReachableOnceAQuorumAnswers() throws Exception {
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

    private static final StreamOrigin V1 = new StreamOrigin("s", "v1");
    private static final StreamOrigin V2 = new StreamOrigin("s", "v2");

    private static void recordOrigin(LedgerClient client, String attempt, StreamOrigin origin)
            throws InterruptedException {
        Reservation record = Reservation.ofOrigin(attempt, RETENTION_MS, origin);
        assertThat(client.reserve(record, TIMEOUT_MS).outcome()).isEqualTo(ReserveOutcome.GRANTED);
    }

    private static Set<StreamOrigin> originsOf(LedgerClient client, String resumedAttempt)
            throws InterruptedException {
        Reservation resume =
                new Reservation(
                        "program",
                        "resume",
                        10,
                        1000,
                        RETENTION_MS,
                        null,
                        resumedAttempt,
                        TIME_LIMIT_MS);
        return client.reserve(resume, TIMEOUT_MS).resumedOrigins();
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void originOfAStreamIsKnownWithoutTheStorageNodeThatSawItFirst(String stopped)
            throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            cluster.stop(stopped);
            recordOrigin(cluster.client(), "q1", V1);
            cluster.restart(stopped);
            cluster.runAllRounds();
            cluster.stop(stopped.equals("a") ? "b" : "a");
            assertThat(originsOf(cluster.client(), "q1")).containsExactly(V1);
        }
    }

    @Test
    void everyOriginThatWasRecordedForAnAttemptIsKept() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            recordOrigin(client, "q1", V1);
            recordOrigin(client, "q1", V2);
            assertThat(originsOf(client, "q1")).containsExactly(V1, V2);
            assertThat(originsOf(client, "q2")).isEmpty();
        }
    }

    @Test
    void originsOfStreamsSurviveARestartOfAllStorageNodes() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            recordOrigin(cluster.client(), "q1", V1);
            for (String node : List.of("a", "b", "c")) {
                cluster.stop(node);
            }
            for (String node : List.of("a", "b", "c")) {
                cluster.restart(node);
            }
            cluster.runAllRounds();
            assertThat(originsOf(cluster.client(), "q1")).containsExactly(V1);
        }
    }

    @Test
    void writesFailWithoutAQuorum() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            cluster.stop("a");
            cluster.stop("b");
            assertThat(client.append("", turn("t1", ""), 0, NO_RETRY_MS)).isFalse();
            assertThat(client.reserve(reservation("r1", 1000), NO_RETRY_MS).outcome())
                    .isEqualTo(ReserveOutcome.UNAVAILABLE);
        }
    }

    /** Every disk is lost once, one after the other, with a complete sync in between. */
    @Test
    void keepsAllRecordsWhenDisksAreLostInTurn() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            assertThat(client.reserve(reservation("r1", 150), TIMEOUT_MS).outcome())
                    .isEqualTo(ReserveOutcome.GRANTED);
            for (String wiped : List.of("a", "b", "c")) {
                cluster.stop(wiped);
                cluster.wipe(wiped);
                cluster.restart(wiped);
                cluster.runAllRounds();
                assertThat(cluster.voting(wiped)).isTrue();
            }
            assertThat(ids(client.chain("t2", TIMEOUT_MS))).containsExactly("t1", "t2").inOrder();
            assertThat(client.reserve(reservation("r2", 150), TIMEOUT_MS).outcome())
                    .isEqualTo(ReserveOutcome.HELD);
        }
    }

    @Test
    void wipedStorageNodeIsNotVotingBeforeItsSyncIsComplete() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            cluster.stop("c");
            appendChain(client);
            cluster.stop("a");
            cluster.wipe("a");
            cluster.restart("a");
            cluster.restart("c");
            cluster.stop("b");
            cluster.runAllRounds();
            assertThat(cluster.voting("a")).isFalse();
            assertThat(client.chain("t2", NO_RETRY_MS)).isInstanceOf(ChainOutcome.Uncertain.class);
            cluster.restart("b");
            cluster.runAllRounds();
            assertThat(cluster.voting("a")).isTrue();
            assertThat(ids(client.chain("t2", TIMEOUT_MS))).containsExactly("t1", "t2").inOrder();
        }
    }

    @Test
    void keepsAllRecordsWhenAllStorageNodesRestart() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            assertThat(client.reserve(reservation("r1", 150), TIMEOUT_MS).outcome())
                    .isEqualTo(ReserveOutcome.GRANTED);
            for (String node : List.of("a", "b", "c")) {
                cluster.stop(node);
            }
            for (String node : List.of("a", "b", "c")) {
                cluster.restart(node);
            }
            assertThat(ids(client.chain("t2", TIMEOUT_MS))).containsExactly("t1", "t2").inOrder();
            assertThat(client.reserve(reservation("r2", 150), TIMEOUT_MS).outcome())
                    .isEqualTo(ReserveOutcome.HELD);
        }
    }

    @ParameterizedTest(name = "{0}, then {1} is wiped")
    @CsvSource({"a,b", "b,c", "c,a", "d,a"})
    void keepsAllRecordsWhenAStorageNodeIsRetired(String retired, String wiped) throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c", "d")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            cluster.retire(retired);
            cluster.runAllRounds();
            assertThat(cluster.retirementReports()).contains(retired + " done");
            assertThat(cluster.view().members()).hasSize(3);
            cluster.stop(retired);
            cluster.stop(wiped);
            cluster.wipe(wiped);
            cluster.restart(wiped);
            cluster.runAllRounds();
            assertThat(ids(client.chain("t2", TIMEOUT_MS))).containsExactly("t1", "t2").inOrder();
        }
    }

    @Test
    void addedStorageNodeHoldsEarlierRecords() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            cluster.add("d");
            cluster.runAllRounds();
            assertThat(cluster.view().members()).hasSize(4);
            cluster.stop("a");
            assertThat(ids(client.chain("t2", TIMEOUT_MS))).containsExactly("t1", "t2").inOrder();
        }
    }

    /**
     * With a member lost for good, a new member is needed for a quorum as soon as it is added, so
     * it must hold the records by then.
     */
    @Test
    void newStorageNodeFetchesRecordsBeforeItIsAdded() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            cluster.stop("a");
            cluster.add("d");
            while (cluster.view().members().size() == 3) {
                cluster.runRound("b");
                cluster.runRound("c");
                boolean added = cluster.view().members().size() == 4;
                assertThat(added && cluster.turnCount("d") == 0).isFalse();
                cluster.runRound("d");
            }
            cluster.runRound("d");
            assertThat(cluster.voting("d")).isTrue();
            assertThat(client.append("", turn("t3", "t2"), 0, TIMEOUT_MS)).isTrue();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void chainsOutliveTheRetentionOfTheirFirstTurns(String stopped) throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            appendChain(client);
            cluster.passRetention(RETENTION_MS);
            assertThat(client.append("", turn("t3", "t2"), 0, TIMEOUT_MS)).isTrue();
            cluster.passRetention(RETENTION_MS / 2);
            cluster.stop(stopped);
            assertThat(ids(client.chain("t3", TIMEOUT_MS)))
                    .containsExactly("t1", "t2", "t3")
                    .inOrder();
        }
    }

    @Test
    void storageNodeFetchesTheTurnsThatItMissedOfAChain() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            cluster.disconnect("a");
            appendChain(client);
            cluster.reconnect("a");
            assertThat(client.append("", turn("t3", "t2"), 0, TIMEOUT_MS)).isTrue();
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (cluster.turnCount("a") < 3 && System.nanoTime() < endNs) {
                cluster.passRetention(0);
                cluster.runAllRounds();
            }
            assertThat(cluster.turnCount("a")).isEqualTo(3);
        }
    }
}
