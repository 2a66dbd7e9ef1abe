package org.skylarkmast.relay.storage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.relay.ledger.ChainOutcome;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.TurnRecord;

/**
 * Tests that the ledger is back in calm, with all that it acknowledged, after drawn sequences of
 * restarts, planned replacements, retirements and losses.
 *
 * <p>Drawn are sequences that the ledger is meant to bear: the next storage node is lost, or
 * replaced as planned, only once the view has left out the one before. A loss may follow a planned
 * replacement or a retirement at any time.
 */
class StorageNodeFaultSequenceTest {
    private static final int STEPS = 24;
    private static final int SEEDS = 20;
    private static final long RETENTION_MS = 3_600_000;
    private static final long FAULT_TIMEOUT_MS = 150;
    private static final long CALM_TIMEOUT_MS = 5000;
    private static final long LOST_MS = ViewChange.LOST_AFTER_MS + 1;

    @TempDir private Path folder;

    static IntStream seeds() {
        int first = Integer.getInteger("faultSequences.first", 1);
        return IntStream.range(first, first + Integer.getInteger("faultSequences.seeds", SEEDS));
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void ledgerIsBackAfterFaults(int seed) throws Exception {
        try (StorageNodeCluster cluster = new StorageNodeCluster(folder, "n1", "n2", "n3")) {
            Sequence sequence = new Sequence(cluster, seed);
            for (int step = 0; step < STEPS; step++) {
                sequence.step();
            }
            sequence.assertBackInCalm();
        }
    }

    /** One drawn sequence, with what it has done so far. */
    private static final class Sequence {
        final StorageNodeCluster cluster;
        final LedgerClient client;
        final Random random;
        final List<String> trace = new ArrayList<>();
        final List<String> acknowledged = new ArrayList<>();
        final TreeSet<String> running = new TreeSet<>(List.of("n1", "n2", "n3"));
        final TreeSet<String> down = new TreeSet<>();
        final TreeSet<String> replaced = new TreeSet<>();
        final TreeSet<String> lost = new TreeSet<>();
        String retiring;
        int turns;
        int added = 3;

        Sequence(StorageNodeCluster cluster, int seed) {
            this.cluster = cluster;
            this.client = cluster.client();
            this.random = new Random(seed);
        }

        void step() throws Exception {
            forgetThoseLeftOut();
            switch (random.nextInt(10)) {
                case 0, 1, 2 -> append(FAULT_TIMEOUT_MS);
                case 3 -> passTime();
                case 4, 5 -> runSomeRounds();
                case 6 -> restartAll();
                case 7 -> stopOne();
                case 8 -> replaceAsPlanned();
                default -> loseOneOrRetire();
            }
        }

        private boolean append(long timeoutMs) throws InterruptedException {
            String id = "t" + turns++;
            byte[] text = id.getBytes(StandardCharsets.UTF_8);
            TurnRecord turn = new TurnRecord(id, "", text, text, RETENTION_MS);
            boolean done = client.append("", turn, 0, timeoutMs);
            if (done) {
                acknowledged.add(id);
            }
            trace.add((done ? "append " : "no append ") + id);
            return done;
        }

        private void passTime() {
            int ms = 500 + random.nextInt(7000);
            trace.add("pass " + ms + " ms");
            cluster.passTime(ms);
        }

        private void runSomeRounds() throws InterruptedException {
            startAllOrSome();
            for (int round = 0; round < 4; round++) {
                String node = draw(running);
                trace.add("round " + node);
                cluster.runRound(node);
            }
        }

        private void startAllOrSome() throws InterruptedException {
            for (String node : List.copyOf(down)) {
                if (running.isEmpty() || random.nextBoolean()) {
                    start(node);
                }
            }
        }

        private void start(String node) {
            trace.add("start " + node);
            try {
                cluster.restart(node);
            } catch (IOException e) {
                throw new UncheckedIOException("cannot restart " + node, e);
            }
            down.remove(node);
            running.add(node);
        }

        private void restartAll() {
            trace.add("restart all");
            running.forEach(cluster::stop);
            down.addAll(running);
            running.clear();
            List.copyOf(down).forEach(this::start);
        }

        private void stopOne() throws InterruptedException {
            startAllOrSome();
            String node = draw(running);
            trace.add("stop " + node);
            cluster.stop(node);
            running.remove(node);
            down.add(node);
        }

        private void replaceAsPlanned() throws Exception {
            if (!replaced.isEmpty() || !lost.isEmpty() || retiring != null) {
                return;
            }
            String old = calmMember();
            addSuccessor();
            cluster.runAllRounds();
            trace.add("remove " + old);
            cluster.stop(old);
            running.remove(old);
            replaced.add(old);
        }

        /** A member of the view, once all storage nodes run and are synced. */
        private String calmMember() throws InterruptedException {
            List.copyOf(down).forEach(this::start);
            cluster.runAllRounds();
            return draw(members());
        }

        private SortedSet<String> members() {
            TreeSet<String> members = new TreeSet<>();
            cluster.view().members().forEach(member -> members.add(member.node()));
            return members;
        }

        private void addSuccessor() throws Exception {
            String successor = "n" + ++added;
            trace.add("add " + successor);
            cluster.add(successor);
            running.add(successor);
        }

        private void loseOneOrRetire() throws Exception {
            if (!lost.isEmpty()) {
                return;
            }
            if (replaced.isEmpty() && running.size() > 3 && random.nextBoolean()) {
                retiring = calmMember();
                trace.add("retire " + retiring);
                cluster.retire(retiring);
                cluster.runAllRounds();
                if (!cluster.retirementReports().contains(retiring + " done")) {
                    return;
                }
                trace.add("remove " + retiring);
                cluster.stop(retiring);
                running.remove(retiring);
                retiring = null;
            }
            startAllOrSome();
            String node = draw(running);
            trace.add("lose " + node);
            cluster.stop(node);
            running.remove(node);
            lost.add(node);
            addSuccessor();
        }

        /** What the view has left out, with all others synced, no longer counts as lost. */
        private void forgetThoseLeftOut() {
            SortedSet<String> members = members();
            if (running.containsAll(members) && members.stream().allMatch(cluster::synced)) {
                replaced.removeIf(node -> !members.contains(node));
                lost.removeIf(node -> !members.contains(node));
            }
        }

        private String draw(SortedSet<String> nodes) {
            return List.copyOf(nodes).get(random.nextInt(nodes.size()));
        }

        void assertBackInCalm() throws InterruptedException {
            List.copyOf(down).forEach(this::start);
            for (int pass = 0; pass < 2; pass++) {
                cluster.passSilence(LOST_MS);
            }
            String state = cluster.view() + "\n" + String.join("\n", trace);
            assertWithMessage(state).that(append(CALM_TIMEOUT_MS)).isTrue();
            for (String id : acknowledged) {
                assertWithMessage("%s\n%s", id, state)
                        .that(client.chain(id, CALM_TIMEOUT_MS))
                        .isInstanceOf(ChainOutcome.Found.class);
            }
            assertThat(members()).containsNoneIn(lost);
        }
    }
}
