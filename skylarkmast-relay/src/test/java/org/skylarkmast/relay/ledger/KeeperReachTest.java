package org.skylarkmast.relay.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which keepers an idle node asks, and when it stops to believe in a quorum. */
class KeeperReachTest {
    private static final long STEP_MS = 300;

    private long nowMs;
    private final KeeperReach reach = new KeeperReach(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));

    private static KeeperView view(int size) {
        List<KeeperView.Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(new KeeperView.Member("k" + i, "10.0.0." + i + ":1"));
        }
        return new KeeperView(1, members);
    }

    private void answerAll(KeeperView view) {
        reach.due(view).forEach(member -> reach.note(member, true));
    }

    /** Load: none at all; the questions of a fleet must not grow with the number of keepers. */
    @ParameterizedTest(name = "{0} keepers")
    @ValueSource(ints = {3, 6, 30})
    void asksOneKeeperASecondWhileAllAnswer(int size) {
        KeeperView view = view(size);
        answerAll(view);
        int asked = 0;
        for (nowMs = STEP_MS; nowMs <= 30_000; nowMs += STEP_MS) {
            List<KeeperView.Member> due = reach.due(view);
            asked += due.size();
            due.forEach(member -> reach.note(member, true));
            assertThat(reach.quorum(view)).isTrue();
        }
        assertThat(asked).isAtMost(30);
    }

    @Test
    void everyKeeperIsAskedInTurn() {
        KeeperView view = view(5);
        answerAll(view);
        List<KeeperView.Member> asked = new ArrayList<>();
        for (nowMs = STEP_MS; nowMs <= 10_000; nowMs += STEP_MS) {
            List<KeeperView.Member> due = reach.due(view);
            asked.addAll(due);
            due.forEach(member -> reach.note(member, true));
        }
        assertThat(asked).containsAtLeastElementsIn(view.members());
    }

    /** A host cut off from all keepers must leave the balancer's rotation soon. */
    @ParameterizedTest(name = "{0} keepers")
    @ValueSource(ints = {3, 6, 30})
    void noticesWithinThreeSecondsThatNobodyAnswers(int size) {
        KeeperView view = view(size);
        answerAll(view);
        for (nowMs = STEP_MS; nowMs <= 10_000; nowMs += STEP_MS) {
            reach.due(view).forEach(member -> reach.note(member, true));
        }
        long cutAtMs = nowMs;
        while (reach.quorum(view) && nowMs - cutAtMs <= 10_000) {
            List<KeeperView.Member> due = reach.due(view);
            nowMs += STEP_MS;
            due.forEach(member -> reach.note(member, false));
        }
        assertThat(nowMs - cutAtMs).isAtMost(3000);
    }

    @Test
    void aKeeperThatFailsIsAskedUntilItAnswers() {
        KeeperView view = view(3);
        answerAll(view);
        KeeperView.Member lost = view.members().get(1);
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
        KeeperView view = view(3);
        assertThat(reach.quorum(view)).isFalse();
        assertThat(reach.due(view)).containsExactlyElementsIn(view.members());
        assertThat(reach.quorum(KeeperView.NONE)).isFalse();
    }
}
