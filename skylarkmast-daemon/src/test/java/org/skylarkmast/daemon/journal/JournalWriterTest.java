package org.skylarkmast.daemon.journal;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.journal.CopiedRecord;
import org.skylarkmast.core.journal.CopyMark;
import org.skylarkmast.core.journal.Journal;
import org.skylarkmast.core.journal.JournalState;
import org.skylarkmast.core.store.StoreKeys;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.Write;
import org.skylarkmast.daemon.sim.FakeStore;
import org.skylarkmast.daemon.sim.SimulatedNode;
import org.skylarkmast.daemon.sim.Simulation;

class JournalWriterTest {
    private static final int PARTITION = 5;

    private final Simulation simulation = new Simulation(11);
    private final FakeStore store = new FakeStore(simulation);
    private final List<Integer> fencedPartitions = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private final CopyStore peer = new CopyStore(1_000_000);

    private JournalWriter writer;
    private int writeIds;

    @BeforeEach
    void openPartition() {
        writer = newWriter();
        open(writer, PARTITION, 1);
    }

    @Test
    void recordsOfManyPartitionsShareOneTransaction() {
        for (int partition = 10; partition < 60; partition++) {
            open(writer, partition, 1);
        }
        simulation.runMs(100);
        long calls = store.calls();
        for (int partition = 10; partition < 60; partition++) {
            append(partition, "r" + partition);
        }
        simulation.runMs(1_000);
        assertThat(outcomes).hasSize(50);
        assertThat(store.calls() - calls).isAtMost(2);
    }

    @ParameterizedTest
    @EnumSource(FakeStore.Fault.class)
    void recordsAreCommittedOnceAndInOrderDespiteFaults(FakeStore.Fault fault) {
        store.setFaults((txn, sim) -> sim.random().nextInt(3) > 0 ? fault : FakeStore.Fault.NONE);
        List<String> appended = new ArrayList<>();
        for (int record = 0; record < 50; record++) {
            append(PARTITION, "r" + record);
            appended.add("r" + record);
            simulation.runMs(100);
        }
        simulation.runMs(60_000);
        assertThat(committed()).containsExactlyElementsIn(appended).inOrder();
        assertThat(records()).containsExactlyElementsIn(appended).inOrder();
    }

    @Test
    void onlyThePartitionClaimedByAnotherOwnerIsFenced() {
        open(writer, 6, 1);
        claim(PARTITION, 2);
        append(PARTITION, "late");
        append(6, "fine");
        simulation.runMs(1_000);
        assertThat(outcomes).containsExactly("fenced late", "committed fine");
        assertThat(fencedPartitions).containsExactly(PARTITION);
        assertThat(records()).isEmpty();
    }

    @Test
    void batchStoredBeforeATakeoverIsReportedCommittedAlthoughItsAnswerWasLost() {
        store.setFaults((txn, sim) -> FakeStore.Fault.LOSE_ANSWER);
        append(PARTITION, "one");
        simulation.runMs(15);
        store.setFaults((txn, sim) -> FakeStore.Fault.NONE);
        claim(PARTITION, 2);
        append(PARTITION, "two");
        simulation.runMs(5_000);
        assertThat(records()).containsExactly("one");
        assertThat(outcomes).containsExactly("committed one", "fenced two").inOrder();
    }

    @Test
    void batchOfTheNewOwnerIsNotMistakenForThatOfThePreviousOwner() {
        store.setFaults((txn, sim) -> FakeStore.Fault.LOSE_REQUEST);
        append(PARTITION, "lost on the way");
        simulation.runMs(15);
        store.setFaults((txn, sim) -> FakeStore.Fault.NONE);
        JournalWriter successor = newWriter();
        open(successor, PARTITION, 2);
        append(successor, PARTITION, "by the successor");
        simulation.runMs(5_000);
        assertThat(outcomes)
                .containsExactly("committed by the successor", "fenced lost on the way");
    }

    @Test
    void journalScopedToAnEarlierAcquisitionAcceptsNothing() {
        Journal staleJournal = writer.scopedTo(PARTITION, 1);
        writer.close(PARTITION);
        open(writer, PARTITION, 3);
        staleJournal.append(
                PARTITION, new byte[1], outcome -> outcomes.add(name(outcome) + "stale"));
        staleJournal.snapshot(PARTITION, 0, List.of(), done -> outcomes.add("snapshot " + done));
        Journal currentJournal = writer.scopedTo(PARTITION, 3);
        currentJournal.append(
                PARTITION, new byte[1], outcome -> outcomes.add(name(outcome) + "fresh"));
        simulation.runMs(1_000);
        assertThat(outcomes).containsExactly("fenced stale", "snapshot false", "committed fresh");
    }

    @Test
    void suspendedPartitionResumesUnderItsNewClaim() {
        append(PARTITION, "one");
        simulation.runMs(1_000);
        writer.suspend(PARTITION);
        append(PARTITION, "two");
        long revision = claim(PARTITION, 2);
        simulation.runMs(1_000);
        writer.rebind(PARTITION, revision, 2);
        simulation.runMs(1_000);
        assertThat(committed()).containsExactly("one", "two").inOrder();
        assertThat(fencedPartitions).isEmpty();
    }

    @Test
    void flushInFlightWhileThePartitionIsReclaimedIsNotFenced() {
        simulation.setMaxLatencyMs(200);
        append(PARTITION, "one");
        simulation.runMs(1);
        writer.suspend(PARTITION);
        long revision = claim(PARTITION, 2);
        simulation.runMs(1_000);
        assertThat(outcomes).isEmpty();
        writer.rebind(PARTITION, revision, 2);
        simulation.runMs(2_000);
        assertThat(committed()).containsExactly("one");
    }

    @Test
    void snapshotReplacesTheRecordsThatItCovers() {
        appendAll(0, 10);
        snapshot(7, "a", "b");
        assertThat(outcomes).contains("snapshot true");
        assertThat(chunks()).containsExactly("a", "b").inOrder();
        assertThat(records()).containsExactly("r7", "r8", "r9").inOrder();
        appendAll(10, 12);
        snapshot(12, "c");
        assertThat(chunks()).containsExactly("c");
        assertThat(records()).isEmpty();
        assertThat(store.stored(StoreKeys.journalOf(PARTITION))).hasSize(2);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void journalIsCompleteWhicheverStepOfASnapshotFails(int stepsBeforeFailure) {
        appendAll(0, 4);
        snapshot(4, "old");
        appendAll(4, 8);
        int[] steps = {0};
        store.setFaults(
                (txn, sim) ->
                        steps[0]++ < stepsBeforeFailure
                                ? FakeStore.Fault.NONE
                                : FakeStore.Fault.REFUSE);
        snapshot(8, "n".repeat(600_000), "e".repeat(600_000));
        boolean tookEffect = stepsBeforeFailure == 3;
        assertThat(chunks()).hasSize(tookEffect ? 2 : 1);
        assertThat(records()).hasSize(tookEffect ? 0 : 4);
        store.setFaults((txn, sim) -> FakeStore.Fault.NONE);
        writer = newWriter();
        open(writer, PARTITION, 2);
        snapshot(8, "by the successor");
        assertThat(chunks()).containsExactly("by the successor");
        assertThat(store.stored(StoreKeys.journalOf(PARTITION))).hasSize(2);
    }

    @Test
    void delayedHeadDoesNotReplaceANewerOne() {
        appendAll(0, 4);
        Txn[] delayedTxn = new Txn[1];
        store.setFaults(
                (txn, sim) -> {
                    boolean writesHead = txn.writes().size() == 4;
                    if (writesHead && delayedTxn[0] == null) {
                        delayedTxn[0] = txn;
                        return FakeStore.Fault.LOSE_REQUEST;
                    }
                    return FakeStore.Fault.NONE;
                });
        snapshot(2, "older");
        snapshot(4, "newer");
        assertThat(chunks()).containsExactly("newer");
        store.commit(delayedTxn[0]);
        assertThat(chunks()).containsExactly("newer");
    }

    @Test
    void snapshotOfAPartitionClaimedByAnotherOwnerFails() {
        appendAll(0, 4);
        claim(PARTITION, 2);
        snapshot(4, "late");
        assertThat(outcomes).contains("snapshot false");
        assertThat(records()).hasSize(4);
    }

    @Test
    void peersHoldCopiesWhileTheStoreIsDownAndRemoveThemOnceCommitted() {
        append(PARTITION, "one");
        simulation.runMs(1_000);
        store.setDown(true);
        append(PARTITION, "two");
        append(PARTITION, "three");
        simulation.runMs(3_000);
        assertThat(writer.degraded()).isTrue();
        assertThat(outcomes)
                .containsExactly("committed one", "copied two", "copied three")
                .inOrder();
        assertThat(peer.copiesOf(PARTITION)).hasSize(2);
        store.setDown(false);
        simulation.runMs(5_000);
        assertThat(committed()).containsExactly("one", "two", "three").inOrder();
        assertThat(writer.degraded()).isFalse();
        assertThat(peer.copiesOf(PARTITION)).isEmpty();
    }

    @Test
    void newOwnerStoresCopiesOfThePreviousOwnerOnceAndInOrder() {
        append(PARTITION, "one");
        simulation.runMs(1_000);
        store.setDown(true);
        append(PARTITION, "two");
        append(PARTITION, "three");
        simulation.runMs(3_000);
        store.setDown(false);
        writer = newWriter();
        JournalState state = open(writer, PARTITION, 2);
        assertThat(SimulatedNode.texts(state.replay().records()))
                .containsExactly("one", "two", "three")
                .inOrder();
        append(PARTITION, "four");
        simulation.runMs(10_000);
        assertThat(records()).containsExactly("one", "two", "three", "four").inOrder();
    }

    private JournalWriter newWriter() {
        JournalWriter created =
                new JournalWriter(
                        store,
                        simulation.loop("node"),
                        simulation.blocking(),
                        simulation::nowNs,
                        () -> "write-" + ++writeIds,
                        this::replicate,
                        JournalSettings.withWriteShare(50));
        created.start((partition, revision) -> fencedPartitions.add(partition));
        return created;
    }

    private int replicate(List<CopiedRecord> copies, List<CopyMark> marks) {
        peer.removeCommitted(marks);
        return peer.addAll(copies) ? 1 : 0;
    }

    private long claim(int partition, long epoch) {
        byte[] record = ("epoch " + epoch).getBytes(StandardCharsets.UTF_8);
        store.setFaults((txn, sim) -> FakeStore.Fault.NONE);
        store.commit(
                new Txn(
                        List.of(),
                        List.of(new Write.Put(StoreKeys.partition(partition), record, 0))));
        return store.revision();
    }

    private JournalState open(JournalWriter opened, int partition, long epoch) {
        long revision = claim(partition, epoch);
        JournalState state = read(partition);
        opened.open(partition, revision, epoch, state);
        return state;
    }

    private JournalState read(int partition) {
        JournalReader reader = new JournalReader(store, peer::copiesOf);
        return ((JournalReader.ReadOutcome.Read) reader.read(partition)).state();
    }

    private List<String> records() {
        return SimulatedNode.texts(read(PARTITION).replay().records());
    }

    private List<String> chunks() {
        return SimulatedNode.texts(read(PARTITION).replay().snapshotChunks());
    }

    private void append(int partition, String text) {
        append(writer, partition, text);
    }

    private void append(JournalWriter to, int partition, String text) {
        to.append(
                partition,
                text.getBytes(StandardCharsets.UTF_8),
                outcome -> outcomes.add(name(outcome) + text));
    }

    private void appendAll(int from, int to) {
        for (int record = from; record < to; record++) {
            append(PARTITION, "r" + record);
        }
        simulation.runMs(1_000);
    }

    private void snapshot(long through, String... chunks) {
        List<byte[]> bytes = new ArrayList<>();
        for (String chunk : chunks) {
            bytes.add(chunk.getBytes(StandardCharsets.UTF_8));
        }
        writer.snapshot(PARTITION, through, bytes, done -> outcomes.add("snapshot " + done));
        simulation.runMs(5_000);
    }

    private List<String> committed() {
        return outcomes.stream()
                .filter(line -> line.startsWith("committed "))
                .map(line -> line.substring("committed ".length()))
                .toList();
    }

    private static String name(AppendOutcome outcome) {
        return switch (outcome) {
            case AppendOutcome.Committed committed -> "committed ";
            case AppendOutcome.Copied copied -> "copied ";
            case AppendOutcome.Fenced fenced -> "fenced ";
        };
    }
}
