package org.skylarkmast.core.program;

import static com.google.common.truth.Truth.assertThat;
import static org.skylarkmast.core.program.PartitionFixture.JOB;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.core.scheduling.RefusalReason;

class PartitionMachineTest {
    private static final ProgramKey CHILD = new ProgramKey("cycle", "job-1/parts");

    private PartitionFixture fixture = new PartitionFixture();

    @Test
    void runsCallsOfOneProgramInOrder() {
        long first = fixture.askModel(JOB, "k1", "one", 10);
        long second = fixture.askModel(JOB, "k2", "two", 10);
        assertThat(fixture.all(ProgramAction.Submit.class)).hasSize(1);
        fixture.answer("a1", 10, 1);
        assertThat(fixture.finalEvent(first)).isInstanceOf(CallerEvent.ModelAnswered.class);
        fixture.answer("a2", 20, 1);
        assertThat(fixture.finalEvent(second)).isInstanceOf(CallerEvent.ModelAnswered.class);
        assertThat(fixture.last(ProgramAction.SendModel.class).messages())
                .containsExactly(
                        new Message("user", "one"),
                        new Message("assistant", "a1"),
                        new Message("user", "two"))
                .inOrder();
    }

    @Test
    void tellsTheFinalEventOnlyOnceItsRecordIsCommitted() {
        long waiter = fixture.askModel(JOB, "k1", "one", 10);
        long callId = fixture.dispatch();
        fixture.commits = false;
        fixture.feed(new ProgramEvent.ModelFinished(callId, "a1", 10, 0, 1));
        assertThat(fixture.finalEvent(waiter)).isNull();
        long ticket = fixture.last(ProgramAction.Append.class).ticket();
        fixture.feed(new ProgramEvent.Appended(ticket, new AppendOutcome.Committed(9)));
        assertThat(fixture.finalEvent(waiter)).isInstanceOf(CallerEvent.ModelAnswered.class);
    }

    @Test
    void marksAnAnswerThatOnlyCopiesKeep() {
        long waiter = fixture.askModel(JOB, "k1", "one", 10);
        long callId = fixture.dispatch();
        fixture.commits = false;
        fixture.feed(new ProgramEvent.ModelFinished(callId, "a1", 10, 0, 1));
        long ticket = fixture.last(ProgramAction.Append.class).ticket();
        fixture.feed(new ProgramEvent.Appended(ticket, new AppendOutcome.Copied(1)));
        fixture.feed(new ProgramEvent.Appended(ticket, new AppendOutcome.Committed(9)));
        assertThat(fixture.heard.get(waiter)).hasSize(1);
        assertThat(((CallerEvent.ModelAnswered) fixture.finalEvent(waiter)).summary().copied())
                .isTrue();
    }

    @Test
    void joinsADuplicateAndAnswersALaterOneFromItsRecord() {
        long first = fixture.askModel(JOB, "k1", "one", 10);
        long joined = fixture.askModel(JOB, "k1", "one", 10);
        fixture.answer("a1", 10, 1);
        assertThat(fixture.all(ProgramAction.SendModel.class)).hasSize(1);
        assertThat(fixture.finalEvent(joined)).isEqualTo(fixture.finalEvent(first));
        PartitionFixture next = fixture.takeOver();
        long later = next.askModel(JOB, "k1", "one", 10);
        assertThat(next.finalEvent(later)).isEqualTo(fixture.finalEvent(first));
        assertThat(next.all(ProgramAction.Submit.class)).isEmpty();
    }

    @Test
    void refusesAKeyUsedForAnotherRequest() {
        fixture.askModel(JOB, "k1", "one", 10);
        long other = fixture.askModel(JOB, "k1", "other", 10);
        assertThat(fixture.refusal(other).kind()).isEqualTo(Refusal.Kind.CONFLICT);
    }

    @Test
    void sendsAnOrderOnlyAfterItsIntentIsCommitted() {
        fixture.ask(JOB, "k1", PartitionFixture.order("/orders"));
        fixture.commits = false;
        fixture.dispatch();
        assertThat(fixture.all(ProgramAction.SendService.class)).isEmpty();
        long ticket = fixture.last(ProgramAction.Append.class).ticket();
        fixture.feed(new ProgramEvent.Appended(ticket, new AppendOutcome.Committed(2)));
        assertThat(fixture.all(ProgramAction.SendService.class)).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({"/orders, STORE_DOWN, 0", "/prices, , 1"})
    void sendsWithACopiedIntentOnlyWhatMayBeRepeated(String path, Refusal.Kind kind, int sends) {
        long waiter = fixture.ask(JOB, "k1", PartitionFixture.order(path));
        fixture.commits = false;
        fixture.dispatch();
        long ticket = fixture.last(ProgramAction.Append.class).ticket();
        fixture.feed(new ProgramEvent.Appended(ticket, new AppendOutcome.Copied(1)));
        fixture.feed(new ProgramEvent.Appended(ticket, new AppendOutcome.Committed(2)));
        assertThat(fixture.all(ProgramAction.SendService.class)).hasSize(sends);
        if (kind != null) {
            assertThat(fixture.refusal(waiter).kind()).isEqualTo(kind);
            assertThat(fixture.refusal(waiter).execution()).isEqualTo(Execution.NOT_RUN);
        }
    }

    @Test
    void neverSendsAgainWhatAFormerOwnerMayHaveSent() {
        fixture.ask(JOB, "k1", PartitionFixture.order("/orders"));
        fixture.dispatch();
        PartitionFixture next = fixture.takeOver();
        long back = next.ask(JOB, "k1", PartitionFixture.order("/orders"));
        assertThat(next.all(ProgramAction.Submit.class)).isEmpty();
        assertThat(next.refusal(back).execution()).isEqualTo(Execution.UNKNOWN);
    }

    @Test
    void keepsOpenIntentsInASnapshot() {
        fixture.ask(JOB, "k1", PartitionFixture.order("/orders"));
        fixture.dispatch();
        PartitionFixture next = fixture.takeOver().takeOverFromSnapshot();
        long back = next.ask(JOB, "k1", PartitionFixture.order("/orders"));
        assertThat(next.refusal(back).execution()).isEqualTo(Execution.UNKNOWN);
        assertThat(next.all(ProgramAction.Submit.class)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(CallFailure.class)
    void saysNotRunOnlyIfNoAttemptMayHaveRun(CallFailure failure) {
        long waiter = fixture.ask(JOB, "k1", PartitionFixture.order("/orders"));
        long callId = fixture.dispatch();
        fixture.feed(new ProgramEvent.AttemptFailed(callId, failure));
        fixture.feed(new ProgramEvent.CallGivenUp(callId, failure, 1_000));
        assertThat(fixture.refusal(waiter).execution())
                .isEqualTo(failure.mayHaveRun() ? Execution.UNKNOWN : Execution.NOT_RUN);
        long again = fixture.ask(JOB, "k1", PartitionFixture.order("/orders"));
        assertThat(fixture.all(ProgramAction.Submit.class)).hasSize(failure.mayHaveRun() ? 1 : 2);
        assertThat(fixture.finalEvent(again) != null).isEqualTo(failure.mayHaveRun());
    }

    @Test
    void remembersThatAnEarlierAttemptMayHaveRun() {
        long waiter = fixture.ask(JOB, "k1", PartitionFixture.order("/prices"));
        long callId = fixture.dispatch();
        fixture.feed(new ProgramEvent.AttemptFailed(callId, CallFailure.BROKEN));
        fixture.feed(new ProgramEvent.Dispatched(callId, "parts-2", 2));
        fixture.feed(new ProgramEvent.AttemptFailed(callId, CallFailure.BUSY));
        fixture.feed(new ProgramEvent.CallGivenUp(callId, CallFailure.BUSY, 1_000));
        assertThat(fixture.refusal(waiter).execution()).isEqualTo(Execution.UNKNOWN);
    }

    @Test
    void neverSaysNotRunOfAModelCallThatAFormerOwnerMayHaveSent() {
        for (int i = 0; i < 3; i++) {
            fixture.askModel(JOB, "k1", "text", 300);
            fixture.dispatch(); // sent, then its owner is killed
            fixture = fixture.takeOver();
        }
        fixture.askModel(JOB, "k1", "text", 300);
        fixture = fixture.takeOver().takeOverFromSnapshot();
        long back = fixture.askModel(JOB, "k1", "text", 300);
        assertThat(fixture.refusal(back).kind()).isEqualTo(Refusal.Kind.BUDGET_SPENT);
        assertThat(fixture.refusal(back).execution()).isEqualTo(Execution.UNKNOWN);
    }

    @Test
    void refusesATurnThatItsJournalRecordCannotHold() {
        long question = fixture.askModel(JOB, "k1", "x".repeat(500_000), 10);
        assertThat(fixture.refusal(question).kind()).isEqualTo(Refusal.Kind.INVALID);
        long answer = fixture.askModel(JOB, "k2", "text", 10);
        long callId = fixture.dispatch();
        String huge = "y".repeat(1_000_000);
        fixture.feed(new ProgramEvent.ModelFinished(callId, huge, 10, 0, 10));
        assertThat(fixture.refusal(answer).execution()).isEqualTo(Execution.RAN);
    }

    @Test
    void cutsACallUnderWayAsUnknown() {
        long waiter = fixture.ask(JOB, "k1", PartitionFixture.order("/orders"));
        long callId = fixture.dispatch();
        fixture.feed(new ProgramEvent.CallGivenUp(callId, CallFailure.TIMED_OUT, 1_000));
        assertThat(fixture.refusal(waiter).execution()).isEqualTo(Execution.UNKNOWN);
    }

    @Test
    void turnsNewRequestsAwayWhileHandingOverAndFinishesWhatRuns() {
        long running = fixture.askModel(JOB, "k1", "text", 10);
        fixture.feed(new ProgramEvent.HandOverBegun());
        assertThat(fixture.machine.quiet()).isFalse();
        long late = fixture.askModel(JOB, "k2", "text", 10);
        assertThat(fixture.refusal(late).kind()).isEqualTo(Refusal.Kind.OWNER_MOVED);
        fixture.answer("a1", 10, 5);
        assertThat(fixture.finalEvent(running)).isInstanceOf(CallerEvent.ModelAnswered.class);
        assertThat(fixture.machine.quiet()).isTrue();
    }

    @Test
    void sendsNothingAfterOwnershipIsLost() {
        long waiter = fixture.ask(JOB, "k1", PartitionFixture.order("/orders"));
        fixture.commits = false;
        fixture.dispatch();
        fixture.feed(new ProgramEvent.OwnershipLost());
        assertThat(fixture.refusal(waiter).execution()).isEqualTo(Execution.NOT_RUN);
        long ticket = fixture.last(ProgramAction.Append.class).ticket();
        fixture.feed(new ProgramEvent.Appended(ticket, new AppendOutcome.Committed(2)));
        assertThat(fixture.all(ProgramAction.SendService.class)).isEmpty();
    }

    @Test
    void refusesANonRepeatableCallWhileTheStoreIsDown() {
        fixture.askModel(JOB, "k0", "text", 10);
        fixture.answer("a1", 10, 5);
        fixture.feed(new ProgramEvent.JournalDegraded(true));
        long order = fixture.ask(JOB, "k1", PartitionFixture.order("/orders"));
        assertThat(fixture.refusal(order).kind()).isEqualTo(Refusal.Kind.STORE_DOWN);
        assertThat(fixture.refusal(order).retryAfterMs()).isGreaterThan(0);
        long within = fixture.askModel(JOB, "k2", "text", 10);
        assertThat(fixture.finalEvent(within)).isNull(); // goes on within the committed grant
        assertThat(fixture.all(ProgramAction.Submit.class)).hasSize(2);
    }

    @Test
    void repeatsTokensOfASecondAttemptToNobodyTwice() {
        long waiter = fixture.askModel(JOB, "k1", "text", 10);
        long callId = fixture.dispatch();
        fixture.feed(new ProgramEvent.TokenArrived(callId, 0, "a"));
        fixture.feed(new ProgramEvent.AttemptFailed(callId, CallFailure.BROKEN));
        fixture.feed(new ProgramEvent.Dispatched(callId, "runner-2", 2));
        fixture.feed(new ProgramEvent.TokenArrived(callId, 0, "a"));
        fixture.feed(new ProgramEvent.TokenArrived(callId, 1, "b"));
        fixture.feed(new ProgramEvent.ModelFinished(callId, "ab", 10, 0, 2));
        assertThat(
                        fixture.heard.get(waiter).stream()
                                .map(Object::getClass)
                                .map(Class::getSimpleName))
                .containsExactly("Token", "Token", "ModelAnswered")
                .inOrder();
    }

    @Test
    void neverMixesTwoAttemptsThatDiffer() {
        long waiter = fixture.askModel(JOB, "k1", "text", 10);
        long callId = fixture.dispatch();
        fixture.feed(new ProgramEvent.TokenArrived(callId, 0, "a"));
        fixture.feed(new ProgramEvent.AttemptFailed(callId, CallFailure.BROKEN));
        fixture.feed(new ProgramEvent.Dispatched(callId, "runner-2", 2));
        fixture.feed(new ProgramEvent.TokenArrived(callId, 0, "x"));
        assertThat(fixture.refusal(waiter).execution()).isEqualTo(Execution.UNKNOWN);
        assertThat(fixture.read(JOB).history()).isEmpty();
    }

    @Test
    void keepsHistoriesOfProgramsWithOneNameInTwoWorkspacesApart() {
        ProgramKey other = new ProgramKey("seats", "job-1");
        assertThat(other.root()).isNotEqualTo(JOB.root());
        fixture.askModel(JOB, "k1", "mine", 10);
        fixture.answer("a1", 10, 5);
        long stranger = fixture.askModel(other, "k1", "theirs", 10);
        assertThat(fixture.refusal(stranger).kind()).isEqualTo(Refusal.Kind.NOT_FOUND);
        assertThat(fixture.machine.read(other)).isEmpty();
    }

    @Test
    void rebuildsHistoryFromASnapshot() {
        fixture.askModel(JOB, "k1", "one", 10);
        fixture.answer("a1", 10, 5);
        fixture.askModel(CHILD, "k1", "sub", 10);
        fixture.answer("s1", 10, 5);
        PartitionFixture next = fixture.takeOverFromSnapshot();
        assertThat(next.read(JOB).history()).isEqualTo(fixture.read(JOB).history());
        assertThat(next.read(CHILD).history()).isEqualTo(fixture.read(CHILD).history());
        assertThat(next.read(JOB).turns()).isEqualTo(2);
    }

    @Test
    void releasesEngineMemoryOfAnEndedProgramAndItsSubAgents() {
        fixture.askModel(JOB, "k1", "one", 10);
        fixture.answer("a1", 10, 5);
        fixture.askModel(CHILD, "k1", "sub", 10);
        fixture.answer("s1", 10, 5);
        long waiter = fixture.ask(JOB, "end", new Operation.EndProgram());
        assertThat(fixture.finalEvent(waiter)).isInstanceOf(CallerEvent.Ended.class);
        assertThat(
                        fixture.all(ProgramAction.ReleaseProgram.class).stream()
                                .map(ProgramAction.ReleaseProgram::program))
                .containsExactly(JOB, CHILD);
    }

    @Test
    void neverRunsALateDuplicateOfAnEndedProgramAsNew() {
        fixture.ask(JOB, "k1", PartitionFixture.order("/orders"));
        long callId = fixture.dispatch();
        fixture.feed(new ProgramEvent.ServiceFinished(callId, 201, "text/plain", new byte[0]));
        fixture.ask(JOB, "end", new Operation.EndProgram());
        PartitionFixture next = fixture.takeOver();
        long late = next.ask(JOB, "k1", PartitionFixture.order("/orders"));
        assertThat(next.refusal(late).kind()).isEqualTo(Refusal.Kind.PROGRAM_ENDED);
        assertThat(next.all(ProgramAction.Submit.class)).isEmpty();
    }

    @Test
    void endsIdleProgramsAndLoopsMeetTheirLimit() {
        for (int i = 0; i < 3; i++) {
            fixture.ask(JOB, "k" + i, PartitionFixture.order("/prices"));
            long callId = fixture.dispatch();
            fixture.feed(new ProgramEvent.ServiceFinished(callId, 200, "text/plain", new byte[0]));
        }
        long looping = fixture.ask(JOB, "k9", PartitionFixture.order("/prices"));
        assertThat(fixture.refusal(looping).kind()).isEqualTo(Refusal.Kind.BUDGET_SPENT);
        fixture.nowNs += 601_000L * 1_000_000;
        fixture.feed(new ProgramEvent.Tick());
        assertThat(fixture.all(ProgramAction.ReleaseProgram.class)).hasSize(1);
        assertThat(fixture.machine.read(JOB)).isEmpty();
    }

    @Test
    void passesTheSchedulersRefusalOnAtOnce() {
        long waiter = fixture.askModel(JOB, "k1", "text", 10);
        long callId = fixture.last(ProgramAction.Submit.class).call().callId();
        fixture.feed(new ProgramEvent.CallRefused(callId, RefusalReason.OVERLOADED, 700));
        assertThat(fixture.refusal(waiter))
                .isEqualTo(
                        new Refusal(
                                Refusal.Kind.OVERLOADED, "not admitted", Execution.NOT_RUN, 700));
        assertThat(fixture.read(JOB).spentTokens()).isEqualTo(0);
    }

    @ParameterizedTest
    @CsvSource({
        "cycle, job-1/a/b, INVALID", // deeper than the template allows
        "cycle, other/a, NOT_FOUND", // a sub-agent of nobody
        "seats, job-1, NOT_FOUND", // another workspace's template
    })
    void refusesWhatTheTemplateDoesNotAllow(String workspace, String id, Refusal.Kind kind) {
        fixture.askModel(JOB, "k0", "text", 10);
        long waiter = fixture.askModel(new ProgramKey(workspace, id), "k1", "text", 10);
        assertThat(fixture.refusal(waiter).kind()).isEqualTo(kind);
        assertThat(fixture.refusal(waiter).execution()).isEqualTo(Execution.NOT_RUN);
    }

    @Test
    void readsBackWhatItWrites() {
        List<JournalRecord> records =
                List.of(
                        new JournalRecord.ProgramStarted(JOB, "intake"),
                        new JournalRecord.ProgramEnded(JOB));
        byte[] bytes = JsonUtil.toBytes(records.toArray(new JournalRecord[0]));
        assertThat(JsonUtil.fromBytes(bytes, JournalRecord[].class)).isEqualTo(records.toArray());
        CallerEvent event = new CallerEvent.Ended(JOB);
        assertThat(JsonUtil.fromBytes(JsonUtil.toBytes(event), CallerEvent.class)).isEqualTo(event);
    }
}
