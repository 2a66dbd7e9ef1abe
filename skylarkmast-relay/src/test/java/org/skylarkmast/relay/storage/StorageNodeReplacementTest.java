package org.skylarkmast.relay.storage;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.relay.ledger.ChainOutcome;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.TurnRecord;

/** Tests that the ledger is back after storage nodes are replaced, retired and lost for good. */
class StorageNodeReplacementTest {
    private static final long RETENTION_MS = 600_000;
    private static final long TIMEOUT_MS = 5000;
    private static final long NO_RETRY_MS = 1;
    private static final long LOST_MS = ViewChange.LOST_AFTER_MS + 1;

    @TempDir private Path folder;

    private static void append(LedgerClient client, String id, String previous)
            throws InterruptedException {
        byte[] text = id.getBytes(StandardCharsets.UTF_8);
        TurnRecord turn = new TurnRecord(id, previous, text, text, RETENTION_MS);
        assertThat(client.append("", turn, 0, TIMEOUT_MS)).isTrue();
    }

    private static void assertChain(LedgerClient client, String... ids)
            throws InterruptedException {
        ChainOutcome outcome = client.chain(ids[ids.length - 1], TIMEOUT_MS);
        assertThat(outcome).isInstanceOf(ChainOutcome.Found.class);
        assertThat(((ChainOutcome.Found) outcome).turns().stream().map(TurnRecord::id).toList())
                .containsExactlyElementsIn(ids)
                .inOrder();
    }

    private static List<String> members(StorageNodeCluster cluster) {
        return cluster.view().members().stream().map(LedgerView.Member::node).sorted().toList();
    }

    private static void restart(StorageNodeCluster cluster, String... nodes) throws Exception {
        for (String node : nodes) {
            cluster.stop(node);
        }
        for (String node : nodes) {
            cluster.restart(node);
        }
    }

    /** Guards against a view of which two of four members are gone and that no change follows. */
    @ParameterizedTest(name = "all restarted: {0}")
    @ValueSource(booleans = {false, true})
    void ledgerIsBackAfterALossThatFollowsAPlannedReplacement(boolean restarted) throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            append(client, "t1", "");
            cluster.add("d");
            cluster.runAllRounds();
            cluster.stop("c");
            append(client, "t2", "t1");
            cluster.stop("a");
            cluster.add("e");
            if (restarted) {
                restart(cluster, "b", "d", "e");
            }
            cluster.passSilence(LOST_MS);
            append(client, "t3", "t2");
            assertChain(client, "t1", "t2", "t3");
            assertThat(members(cluster)).containsExactly("b", "d", "e");
        }
    }

    /** Guards against waiting for a successor while the nodes that are left could serve. */
    @Test
    void ledgerIsBackAfterALossThatFollowsAPlannedReplacementWithoutASuccessor() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c", "d")) {
            LedgerClient client = cluster.client();
            append(client, "t1", "");
            cluster.stop("c");
            cluster.stop("a");
            cluster.passSilence(LOST_MS);
            append(client, "t2", "t1");
            assertChain(client, "t1", "t2");
        }
    }

    /** Guards against a retirement that ends with a view that bears no loss. */
    @Test
    void ledgerOutlivesALossWhileAnotherStorageNodeIsRetired() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c", "d")) {
            LedgerClient client = cluster.client();
            append(client, "t1", "");
            cluster.stop("d");
            cluster.retire("c");
            cluster.runAllRounds();
            assertThat(cluster.retirementReports()).doesNotContain("c done");
            cluster.add("e");
            cluster.passSilence(LOST_MS);
            assertThat(cluster.retirementReports()).contains("c done");
            cluster.stop("c");
            cluster.stop("a");
            append(client, "t2", "t1");
            assertChain(client, "t1", "t2");
        }
    }

    /** Guards against a view of two that cannot take in the successor of one of them. */
    @ParameterizedTest(name = "all restarted: {0}")
    @ValueSource(booleans = {false, true})
    void eachOfTwoStorageNodesThatRetirementsLeaveCanBeReplaced(boolean restarted)
            throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            append(client, "t1", "");
            cluster.retire("c");
            cluster.runAllRounds();
            assertThat(cluster.retirementReports()).contains("c done");
            cluster.stop("c");
            cluster.stop("b");
            cluster.add("d");
            if (restarted) {
                restart(cluster, "a", "d");
            }
            cluster.passSilence(LOST_MS);
            append(client, "t2", "t1");
            cluster.stop("a");
            cluster.add("e");
            cluster.passSilence(LOST_MS);
            assertThat(members(cluster)).containsExactly("d", "e");
            append(client, "t3", "t2");
            assertChain(client, "t1", "t2", "t3");
        }
    }

    /** Guards against storage nodes that forget in a restart that they were synced. */
    @ParameterizedTest(name = "{0} is lost, then {1}")
    @CsvSource({"c,a", "a,b", "b,a"})
    void restartOfTheOthersWhileOneIsLostDoesNotKeepItsSuccessorOut(String lost, String lostNext)
            throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            append(client, "t1", "");
            cluster.stop(lost);
            List<String> left =
                    List.of("a", "b", "c").stream().filter(n -> !n.equals(lost)).toList();
            restart(cluster, left.toArray(new String[0]));
            cluster.add("d");
            cluster.passSilence(LOST_MS);
            cluster.stop(lostNext);
            cluster.add("e");
            cluster.passSilence(LOST_MS);
            append(client, "t2", "t1");
            assertChain(client, "t1", "t2");
            assertThat(members(cluster)).containsNoneOf(lost, lostNext);
        }
    }

    /** Guards against a sync that waits for storage nodes synced to the previous view, one lost. */
    @Test
    void ledgerIsBackAfterALossBeforeTheOthersAreSyncedToTheNewView() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c", "d")) {
            LedgerClient client = cluster.client();
            append(client, "t1", "");
            cluster.stop("d");
            cluster.passSilence(ViewChange.REACHABLE_MS);
            cluster.stop("c");
            cluster.passSilence(ViewChange.SILENT_AFTER_MS + 1);
            append(client, "t2", "t1");
            assertThat(members(cluster)).containsExactly("a", "b", "c");
            cluster.add("e");
            cluster.runRound("b");
            cluster.runRound("e");
            cluster.runRound("a");
            assertThat(members(cluster)).containsExactly("a", "b", "c", "e");
            cluster.stop("a");
            cluster.restart("c");
            cluster.passSilence(LOST_MS);
            append(client, "t3", "t2");
            assertChain(client, "t1", "t2", "t3");
        }
    }

    /** Guards against a view of five with two that were replaced and one that is lost. */
    @Tag("known-red")
    @Test
    void ledgerIsBackAfterALossThatFollowsTwoPlannedReplacements() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c")) {
            LedgerClient client = cluster.client();
            append(client, "t1", "");
            cluster.add("d");
            cluster.add("e");
            cluster.runAllRounds();
            cluster.stop("a");
            cluster.stop("b");
            cluster.passSilence(ViewChange.SILENT_AFTER_MS + 1);
            append(client, "t2", "t1");
            cluster.stop("c");
            cluster.add("f");
            cluster.passSilence(LOST_MS);
            append(client, "t3", "t2");
            assertChain(client, "t1", "t2", "t3");
        }
    }

    @Test
    void storageNodeThatIsBackAfterItWasLeftOutIsAddedAgain() throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "a", "b", "c", "d")) {
            LedgerClient client = cluster.client();
            append(client, "t1", "");
            cluster.stop("d");
            cluster.passSilence(LOST_MS);
            assertThat(members(cluster)).containsExactly("a", "b", "c");
            append(client, "t2", "t1");
            cluster.restart("d");
            cluster.runAllRounds();
            assertThat(members(cluster)).containsExactly("a", "b", "c", "d");
            cluster.stop("a");
            assertChain(client, "t1", "t2");
        }
    }

    /**
     * Guards against a write that counts under a view whose records others have fetched already.
     */
    @Test
    void writeIsNotAcknowledgedIfTheViewChangesBeforeItIsDone() throws Exception {
        AtomicBoolean delayed = new AtomicBoolean();
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        DiskSync sync =
                channel -> {
                    if (delayed.compareAndSet(true, false)) {
                        begun.countDown();
                        awaitUninterrupted(released);
                    }
                };
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, sync, "a", "b", "c");
                ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            LedgerClient client = cluster.client();
            cluster.stop("b");
            cluster.stop("c");
            delayed.set(true);
            Future<Boolean> acknowledged =
                    executor.submit(
                            () ->
                                    cluster.appendAt(
                                            "a",
                                            new TurnRecord(
                                                    "t1",
                                                    "",
                                                    new byte[0],
                                                    new byte[0],
                                                    RETENTION_MS)));
            begun.await();
            cluster.adoptView("a", cluster.view().without(cluster.view().members().getLast()));
            released.countDown();
            assertThat(acknowledged.get()).isFalse();
            assertThat(client.chain("t1", NO_RETRY_MS)).isNotInstanceOf(ChainOutcome.Absent.class);
        }
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
