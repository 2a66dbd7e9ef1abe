package org.skylarkmast.relay.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which storage nodes an idle node asks, and when it stops to believe in a quorum. */
class StorageNodeReachabilityTest {
    private static final long STEP_MS = 300;

    private long nowMs;
    private final StorageNodeReachability reach =
            new StorageNodeReachability(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));

    private static LedgerView view(int size) {
        List<LedgerView.Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(new LedgerView.Member("k" + i, "10.0.0." + i + ":1"));
        }
        return new LedgerView(1, members);
    }

    private void answerAll(LedgerView view) {
        reach.due(view).forEach(member -> reach.note(member, true));
    }

    /**
     * Load: none at all; the questions of a fleet must not grow with the number of storage nodes.
     */
    @ParameterizedTest(name = "{0} storage nodes")
    @ValueSource(ints = {3, 6, 30})
    void asksOneStorageNodeASecondWhileAllAnswer(int size) {
        LedgerView view = view(size);
        answerAll(view);
        int asked = 0;
        for (nowMs = STEP_MS; nowMs <= 30_000; nowMs += STEP_MS) {
            List<LedgerView.Member> due = reach.due(view);
            asked += due.size();
            due.forEach(member -> reach.note(member, true));
            assertThat(reach.quorum(view)).isTrue();
        }
        assertThat(asked).isAtMost(30);
    }

    @Test
    void everyStorageNodeIsAskedInTurn() {
        LedgerView view = view(5);
        answerAll(view);
        List<LedgerView.Member> asked = new ArrayList<>();
        for (nowMs = STEP_MS; nowMs <= 10_000; nowMs += STEP_MS) {
            List<LedgerView.Member> due = reach.due(view);
            asked.addAll(due);
            due.forEach(member -> reach.note(member, true));
        }
        assertThat(asked).containsAtLeastElementsIn(view.members());
    }

    /** A host cut off from all storage nodes must leave the balancer's rotation soon. */
    @ParameterizedTest(name = "{0} storage nodes")
    @ValueSource(ints = {3, 6, 30})
    void noticesWithinThreeSecondsThatNobodyAnswers(int size) {
        LedgerView view = view(size);
        answerAll(view);
        for (nowMs = STEP_MS; nowMs <= 10_000; nowMs += STEP_MS) {
            reach.due(view).forEach(member -> reach.note(member, true));
        }
        long cutAtMs = nowMs;
        while (reach.quorum(view) && nowMs - cutAtMs <= 10_000) {
            List<LedgerView.Member> due = reach.due(view);
            nowMs += STEP_MS;
            due.forEach(member -> reach.note(member, false));
        }
        assertThat(nowMs - cutAtMs).isAtMost(3000);
    }

    @Test
    void aStorageNodeThatFailsIsAskedUntilItAnswers() {
        LedgerView view = view(3);
        answerAll(view);
        LedgerView.Member lost = view.members().get(1);
        nowMs += STEP_MS;
        reach.note(lost, false);
        assertThat(reach.suspected(lost)).isTrue();
        assertThat(reach.due(view)).contains(lost);
        assertThat(reach.quorum(view)).isTrue();
        nowMs += STEP_MS;
        reach.note(lost, true);
        assertThat(reach.suspected(lost)).isFalse();
        assertThat(reach.due(view)).isEmpty();
    }

    @Test
    void withoutAnyAnswerThereIsNoQuorum() {
        LedgerView view = view(3);
        assertThat(reach.quorum(view)).isFalse();
        assertThat(reach.due(view)).containsExactlyElementsIn(view.members());
        assertThat(reach.quorum(LedgerView.NONE)).isFalse();
    }
}
