package org.skylarkmast.relay.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which storage nodes an idle entry node probes, and when it no longer assumes a quorum. */
class StorageNodeReachabilityTest {
    private static final long STEP_MS = 300;

    private long nowMs;
    private final StorageNodeReachability reachability =
            new StorageNodeReachability(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));

    private static LedgerView view(int size) {
        List<LedgerView.Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(new LedgerView.Member("n" + i, "10.0.0." + i + ":1"));
        }
        return new LedgerView(1, members);
    }

    private void answerAll(LedgerView view) {
        reachability.dueForProbe(view).forEach(member -> reachability.recordCall(member, true));
    }

    /**
     * Without any traffic, the probes of an entry node must not grow with the number of storage
     * nodes.
     */
    @ParameterizedTest(name = "{0} storage nodes")
    @ValueSource(ints = {3, 6, 30})
    void probesAtMostOneStorageNodePerSecondWhileAllAnswer(int size) {
        LedgerView view = view(size);
        answerAll(view);
        int probed = 0;
        for (nowMs = STEP_MS; nowMs <= 30_000; nowMs += STEP_MS) {
            List<LedgerView.Member> due = reachability.dueForProbe(view);
            probed += due.size();
            due.forEach(member -> reachability.recordCall(member, true));
            assertThat(reachability.hasQuorum(view)).isTrue();
        }
        assertThat(probed).isAtMost(30);
    }

    @Test
    void everyStorageNodeIsProbedInTurn() {
        LedgerView view = view(5);
        answerAll(view);
        List<LedgerView.Member> probed = new ArrayList<>();
        for (nowMs = STEP_MS; nowMs <= 10_000; nowMs += STEP_MS) {
            List<LedgerView.Member> due = reachability.dueForProbe(view);
            probed.addAll(due);
            due.forEach(member -> reachability.recordCall(member, true));
        }
        assertThat(probed).containsAtLeastElementsIn(view.members());
    }

    /** An entry node cut off from all storage nodes must soon be taken out of load balancing. */
    @ParameterizedTest(name = "{0} storage nodes")
    @ValueSource(ints = {3, 6, 30})
    void losesQuorumWithinThreeSecondsWhenNoneAnswers(int size) {
        LedgerView view = view(size);
        answerAll(view);
        for (nowMs = STEP_MS; nowMs <= 10_000; nowMs += STEP_MS) {
            reachability.dueForProbe(view).forEach(member -> reachability.recordCall(member, true));
        }
        long partitionedAtMs = nowMs;
        while (reachability.hasQuorum(view) && nowMs - partitionedAtMs <= 10_000) {
            List<LedgerView.Member> due = reachability.dueForProbe(view);
            nowMs += STEP_MS;
            due.forEach(member -> reachability.recordCall(member, false));
        }
        assertThat(nowMs - partitionedAtMs).isAtMost(3000);
    }

    @Test
    void failedStorageNodeIsProbedUntilItAnswers() {
        LedgerView view = view(3);
        answerAll(view);
        LedgerView.Member failed = view.members().get(1);
        nowMs += STEP_MS;
        reachability.recordCall(failed, false);
        assertThat(reachability.isSuspected(failed)).isTrue();
        assertThat(reachability.dueForProbe(view)).contains(failed);
        assertThat(reachability.hasQuorum(view)).isTrue();
        nowMs += STEP_MS;
        reachability.recordCall(failed, true);
        assertThat(reachability.isSuspected(failed)).isFalse();
        assertThat(reachability.dueForProbe(view)).isEmpty();
    }

    @Test
    void noQuorumBeforeTheFirstAnswer() {
        LedgerView view = view(3);
        assertThat(reachability.hasQuorum(view)).isFalse();
        assertThat(reachability.dueForProbe(view)).containsExactlyElementsIn(view.members());
        assertThat(reachability.hasQuorum(LedgerView.NONE)).isFalse();
    }

    /** Guards against requests to a process that has got the address of a storage node. */
    @ParameterizedTest(name = "{0} storage nodes")
    @ValueSource(ints = {1, 3, 6})
    void addressOfAnotherProcessIsProbedLessAndLessOften(int size) {
        LedgerView view = view(size);
        answerAll(view);
        LedgerView.Member taken = view.members().getFirst();
        reachability.recordCall(taken, false);
        int probes = 0;
        for (nowMs = STEP_MS; nowMs <= 120_000; nowMs += STEP_MS) {
            for (LedgerView.Member member : reachability.dueForProbe(view)) {
                boolean isTaken = member.equals(taken);
                probes += isTaken ? 1 : 0;
                if (isTaken) {
                    reachability.recordOtherProcess(member);
                }
                reachability.recordCall(member, !isTaken);
            }
        }
        assertThat(probes).isAtMost(10);
        reachability.recordCall(taken, true);
        reachability.recordCall(taken, false);
        assertThat(reachability.dueForProbe(view)).contains(taken);
    }
}
