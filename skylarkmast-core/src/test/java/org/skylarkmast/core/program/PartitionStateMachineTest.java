package org.skylarkmast.core.program;

import static com.google.common.truth.Truth.assertThat;
import static org.skylarkmast.core.program.PartitionFixture.PROGRAM;

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

class PartitionStateMachineTest {
    private static final ProgramKey SUB_AGENT = new ProgramKey("cycle", "job-1/parts");

    private PartitionFixture fixture = new PartitionFixture();

    @Test
    void runsCallsOfOneProgramInOrder() {
        long first = fixture.askModel(PROGRAM, "k1", "one", 10);
        long second = fixture.askModel(PROGRAM, "k2", "two", 10);
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
    void emitsFinalEventOnlyOnceItsRecordIsCommitted() {
        long waiter = fixture.askModel(PROGRAM, "k1", "one", 10);
        long callId = fixture.dispatch();
        fixture.autoCommit = false;
        fixture.feed(new ProgramEvent.ModelFinished(callId, "a1", 10, 0, 1));
        assertThat(fixture.finalEvent(waiter)).isNull();
        long ticket = fixture.last(ProgramAction.Append.class).ticket();
        fixture.feed(new ProgramEvent.Appended(ticket, new AppendOutcome.Committed(9)));
        assertThat(fixture.finalEvent(waiter)).isInstanceOf(CallerEvent.ModelAnswered.class);
    }

    @Test
    void marksAnswerWhoseRecordIsOnlyCopied() {
        long waiter = fixture.askModel(PROGRAM, "k1", "one", 10);
        long callId = fixture.dispatch();
        fixture.autoCommit = false;
        fixture.feed(new ProgramEvent.ModelFinished(callId, "a1", 10, 0, 1));
        long ticket = fixture.last(ProgramAction.Append.class).ticket();
        fixture.feed(new ProgramEvent.Appended(ticket, new AppendOutcome.Copied(1)));
        fixture.feed(new ProgramEvent.Appended(ticket, new AppendOutcome.Committed(9)));
        assertThat(fixture.receivedEvents.get(waiter)).hasSize(1);
        assertThat(((CallerEvent.ModelAnswered) fixture.finalEvent(waiter)).summary().copied())
                .isTrue();
    }

    @Test
    void joinsDuplicateAndAnswersLaterOneFromItsRecord() {
        long first = fixture.askModel(PROGRAM, "k1", "one", 10);
        long joined = fixture.askModel(PROGRAM, "k1", "one", 10);
        fixture.answer("a1", 10, 1);
        assertThat(fixture.all(ProgramAction.SendModel.class)).hasSize(1);
        assertThat(fixture.finalEvent(joined)).isEqualTo(fixture.finalEvent(first));
        PartitionFixture next = fixture.takeOver();
        long later = next.askModel(PROGRAM, "k1", "one", 10);
        assertThat(next.finalEvent(later)).isEqualTo(fixture.finalEvent(first));
        assertThat(next.all(ProgramAction.Submit.class)).isEmpty();
    }

    @Test
    void refusesKeyUsedForAnotherRequest() {
        fixture.askModel(PROGRAM, "k1", "one", 10);
        long other = fixture.askModel(PROGRAM, "k1", "other", 10);
        assertThat(fixture.refusal(other).kind()).isEqualTo(Refusal.Kind.CONFLICT);
    }

    @Test
    void sendsNonRepeatableCallOnlyAfterItsIntentIsCommitted() {
        fixture.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/orders"));
        fixture.autoCommit = false;
        fixture.dispatch();
        assertThat(fixture.all(ProgramAction.SendService.class)).isEmpty();
        long ticket = fixture.last(ProgramAction.Append.class).ticket();
        fixture.feed(new ProgramEvent.Appended(ticket, new AppendOutcome.Committed(2)));
        assertThat(fixture.all(ProgramAction.SendService.class)).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({"/orders, STORE_DOWN, 0", "/prices, , 1"})
    void sendsOnlyRepeatableCallsWithCopiedIntent(String path, Refusal.Kind kind, int sends) {
        long waiter = fixture.ask(PROGRAM, "k1", PartitionFixture.serviceCall(path));
        fixture.autoCommit = false;
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
    void neverResendsCallThatFormerOwnerMayHaveSent() {
        fixture.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/orders"));
        fixture.dispatch();
        PartitionFixture next = fixture.takeOver();
        long repeated = next.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/orders"));
        assertThat(next.all(ProgramAction.Submit.class)).isEmpty();
        assertThat(next.refusal(repeated).execution()).isEqualTo(Execution.UNKNOWN);
    }

    @Test
    void keepsOpenIntentsInSnapshot() {
        fixture.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/orders"));
        fixture.dispatch();
        PartitionFixture next = fixture.takeOver().takeOverFromSnapshot();
        long repeated = next.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/orders"));
        assertThat(next.refusal(repeated).execution()).isEqualTo(Execution.UNKNOWN);
        assertThat(next.all(ProgramAction.Submit.class)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(CallFailure.class)
    void reportsNotRunOnlyIfNoAttemptMayHaveRun(CallFailure failure) {
        long waiter = fixture.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/orders"));
        long callId = fixture.dispatch();
        fixture.feed(new ProgramEvent.AttemptFailed(callId, failure));
        fixture.feed(new ProgramEvent.CallAbandoned(callId, failure, 1_000));
        assertThat(fixture.refusal(waiter).execution())
                .isEqualTo(failure.mayHaveRun() ? Execution.UNKNOWN : Execution.NOT_RUN);
        long again = fixture.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/orders"));
        assertThat(fixture.all(ProgramAction.Submit.class)).hasSize(failure.mayHaveRun() ? 1 : 2);
        assertThat(fixture.finalEvent(again) != null).isEqualTo(failure.mayHaveRun());
    }

    @Test
    void reportsUnknownIfAnEarlierAttemptMayHaveRun() {
        long waiter = fixture.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/prices"));
        long callId = fixture.dispatch();
        fixture.feed(new ProgramEvent.AttemptFailed(callId, CallFailure.BROKEN));
        fixture.feed(new ProgramEvent.Dispatched(callId, "parts-2", 2));
        fixture.feed(new ProgramEvent.AttemptFailed(callId, CallFailure.BUSY));
        fixture.feed(new ProgramEvent.CallAbandoned(callId, CallFailure.BUSY, 1_000));
        assertThat(fixture.refusal(waiter).execution()).isEqualTo(Execution.UNKNOWN);
    }

    @Test
    void neverReportsNotRunForModelCallThatFormerOwnerMayHaveSent() {
        for (int i = 0; i < 3; i++) {
            fixture.askModel(PROGRAM, "k1", "text", 300);
            fixture.dispatch(); // sent, then the owner is killed
            fixture = fixture.takeOver();
        }
        fixture.askModel(PROGRAM, "k1", "text", 300);
        fixture = fixture.takeOver().takeOverFromSnapshot();
        long repeated = fixture.askModel(PROGRAM, "k1", "text", 300);
        assertThat(fixture.refusal(repeated).kind()).isEqualTo(Refusal.Kind.BUDGET_SPENT);
        assertThat(fixture.refusal(repeated).execution()).isEqualTo(Execution.UNKNOWN);
    }

    @Test
    void refusesTurnThatExceedsItsJournalRecord() {
        long question = fixture.askModel(PROGRAM, "k1", "x".repeat(500_000), 10);
        assertThat(fixture.refusal(question).kind()).isEqualTo(Refusal.Kind.INVALID);
        long answer = fixture.askModel(PROGRAM, "k2", "text", 10);
        long callId = fixture.dispatch();
        String huge = "y".repeat(1_000_000);
        fixture.feed(new ProgramEvent.ModelFinished(callId, huge, 10, 0, 10));
        assertThat(fixture.refusal(answer).execution()).isEqualTo(Execution.RAN);
    }

    @Test
    void reportsTimedOutCallAsUnknown() {
        long waiter = fixture.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/orders"));
        long callId = fixture.dispatch();
        fixture.feed(new ProgramEvent.CallAbandoned(callId, CallFailure.TIMED_OUT, 1_000));
        assertThat(fixture.refusal(waiter).execution()).isEqualTo(Execution.UNKNOWN);
    }

    @Test
    void refusesNewRequestsDuringHandOverAndFinishesRunningCalls() {
        long running = fixture.askModel(PROGRAM, "k1", "text", 10);
        fixture.feed(new ProgramEvent.HandOverBegun());
        assertThat(fixture.machine.isReadyForHandOver()).isFalse();
        long late = fixture.askModel(PROGRAM, "k2", "text", 10);
        assertThat(fixture.refusal(late).kind()).isEqualTo(Refusal.Kind.OWNER_MOVED);
        fixture.answer("a1", 10, 5);
        assertThat(fixture.finalEvent(running)).isInstanceOf(CallerEvent.ModelAnswered.class);
        assertThat(fixture.machine.isReadyForHandOver()).isTrue();
    }

    @Test
    void sendsNothingAfterOwnershipIsLost() {
        long waiter = fixture.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/orders"));
        fixture.autoCommit = false;
        fixture.dispatch();
        fixture.feed(new ProgramEvent.OwnershipLost());
        assertThat(fixture.refusal(waiter).execution()).isEqualTo(Execution.NOT_RUN);
        long ticket = fixture.last(ProgramAction.Append.class).ticket();
        fixture.feed(new ProgramEvent.Appended(ticket, new AppendOutcome.Committed(2)));
        assertThat(fixture.all(ProgramAction.SendService.class)).isEmpty();
    }

    @Test
    void refusesNonRepeatableCallWhileTheStoreIsDown() {
        fixture.askModel(PROGRAM, "k0", "text", 10);
        fixture.answer("a1", 10, 5);
        fixture.feed(new ProgramEvent.JournalDegraded(true));
        long serviceCall = fixture.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/orders"));
        assertThat(fixture.refusal(serviceCall).kind()).isEqualTo(Refusal.Kind.STORE_DOWN);
        assertThat(fixture.refusal(serviceCall).retryAfterMs()).isGreaterThan(0);
        long within = fixture.askModel(PROGRAM, "k2", "text", 10);
        assertThat(fixture.finalEvent(within)).isNull(); // continues within the committed grant
        assertThat(fixture.all(ProgramAction.Submit.class)).hasSize(2);
    }

    @Test
    void emitsRepeatedTokensOfSecondAttemptOnlyOnce() {
        long waiter = fixture.askModel(PROGRAM, "k1", "text", 10);
        long callId = fixture.dispatch();
        fixture.feed(new ProgramEvent.TokenArrived(callId, 0, "a"));
        fixture.feed(new ProgramEvent.AttemptFailed(callId, CallFailure.BROKEN));
        fixture.feed(new ProgramEvent.Dispatched(callId, "runner-2", 2));
        fixture.feed(new ProgramEvent.TokenArrived(callId, 0, "a"));
        fixture.feed(new ProgramEvent.TokenArrived(callId, 1, "b"));
        fixture.feed(new ProgramEvent.ModelFinished(callId, "ab", 10, 0, 2));
        assertThat(
                        fixture.receivedEvents.get(waiter).stream()
                                .map(Object::getClass)
                                .map(Class::getSimpleName))
                .containsExactly("Token", "Token", "ModelAnswered")
                .inOrder();
    }

    @Test
    void neverMixesAttemptsWithDifferentTokens() {
        long waiter = fixture.askModel(PROGRAM, "k1", "text", 10);
        long callId = fixture.dispatch();
        fixture.feed(new ProgramEvent.TokenArrived(callId, 0, "a"));
        fixture.feed(new ProgramEvent.AttemptFailed(callId, CallFailure.BROKEN));
        fixture.feed(new ProgramEvent.Dispatched(callId, "runner-2", 2));
        fixture.feed(new ProgramEvent.TokenArrived(callId, 0, "x"));
        assertThat(fixture.refusal(waiter).execution()).isEqualTo(Execution.UNKNOWN);
        assertThat(fixture.read(PROGRAM).history()).isEmpty();
    }

    @Test
    void separatesProgramsWithSameNameInTwoWorkspaces() {
        ProgramKey other = new ProgramKey("seats", "job-1");
        assertThat(other.root()).isNotEqualTo(PROGRAM.root());
        fixture.askModel(PROGRAM, "k1", "mine", 10);
        fixture.answer("a1", 10, 5);
        long otherWorkspace = fixture.askModel(other, "k1", "theirs", 10);
        assertThat(fixture.refusal(otherWorkspace).kind()).isEqualTo(Refusal.Kind.NOT_FOUND);
        assertThat(fixture.machine.read(other)).isEmpty();
    }

    @Test
    void rebuildsHistoryFromSnapshot() {
        fixture.askModel(PROGRAM, "k1", "one", 10);
        fixture.answer("a1", 10, 5);
        fixture.askModel(SUB_AGENT, "k1", "sub", 10);
        fixture.answer("s1", 10, 5);
        PartitionFixture next = fixture.takeOverFromSnapshot();
        assertThat(next.read(PROGRAM).history()).isEqualTo(fixture.read(PROGRAM).history());
        assertThat(next.read(SUB_AGENT).history()).isEqualTo(fixture.read(SUB_AGENT).history());
        assertThat(next.read(PROGRAM).turns()).isEqualTo(2);
    }

    @Test
    void releasesEngineMemoryOfEndedProgramAndItsSubAgents() {
        fixture.askModel(PROGRAM, "k1", "one", 10);
        fixture.answer("a1", 10, 5);
        fixture.askModel(SUB_AGENT, "k1", "sub", 10);
        fixture.answer("s1", 10, 5);
        long waiter = fixture.ask(PROGRAM, "end", new Operation.EndProgram());
        assertThat(fixture.finalEvent(waiter)).isInstanceOf(CallerEvent.Ended.class);
        assertThat(
                        fixture.all(ProgramAction.ReleaseProgram.class).stream()
                                .map(ProgramAction.ReleaseProgram::program))
                .containsExactly(PROGRAM, SUB_AGENT);
    }

    @Test
    void neverRunsLateDuplicateOfEndedProgramAsNew() {
        fixture.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/orders"));
        long callId = fixture.dispatch();
        fixture.feed(new ProgramEvent.ServiceFinished(callId, 201, "text/plain", new byte[0]));
        fixture.ask(PROGRAM, "end", new Operation.EndProgram());
        PartitionFixture next = fixture.takeOver();
        long late = next.ask(PROGRAM, "k1", PartitionFixture.serviceCall("/orders"));
        assertThat(next.refusal(late).kind()).isEqualTo(Refusal.Kind.PROGRAM_ENDED);
        assertThat(next.all(ProgramAction.Submit.class)).isEmpty();
    }

    @Test
    void refusesServiceCallsOverTheBudgetAndEndsIdlePrograms() {
        for (int i = 0; i < 3; i++) {
            fixture.ask(PROGRAM, "k" + i, PartitionFixture.serviceCall("/prices"));
            long callId = fixture.dispatch();
            fixture.feed(new ProgramEvent.ServiceFinished(callId, 200, "text/plain", new byte[0]));
        }
        long overLimit = fixture.ask(PROGRAM, "k9", PartitionFixture.serviceCall("/prices"));
        assertThat(fixture.refusal(overLimit).kind()).isEqualTo(Refusal.Kind.BUDGET_SPENT);
        fixture.nowNs += 601_000L * 1_000_000;
        fixture.feed(new ProgramEvent.Tick());
        assertThat(fixture.all(ProgramAction.ReleaseProgram.class)).hasSize(1);
        assertThat(fixture.machine.read(PROGRAM)).isEmpty();
    }

    @Test
    void reportsSchedulerRefusalImmediately() {
        long waiter = fixture.askModel(PROGRAM, "k1", "text", 10);
        long callId = fixture.last(ProgramAction.Submit.class).call().callId();
        fixture.feed(new ProgramEvent.CallRefused(callId, RefusalReason.OVERLOADED, 700));
        assertThat(fixture.refusal(waiter))
                .isEqualTo(
                        new Refusal(
                                Refusal.Kind.OVERLOADED, "not admitted", Execution.NOT_RUN, 700));
        assertThat(fixture.read(PROGRAM).spentTokens()).isEqualTo(0);
    }

    @ParameterizedTest
    @CsvSource({
        "cycle, job-1/a/b, INVALID", // deeper than the template allows
        "cycle, other/a, NOT_FOUND", // sub-agent of a program that does not exist
        "seats, job-1, NOT_FOUND", // another workspace's template
    })
    void refusesRequestsTheTemplateDoesNotAllow(String workspace, String id, Refusal.Kind kind) {
        fixture.askModel(PROGRAM, "k0", "text", 10);
        long waiter = fixture.askModel(new ProgramKey(workspace, id), "k1", "text", 10);
        assertThat(fixture.refusal(waiter).kind()).isEqualTo(kind);
        assertThat(fixture.refusal(waiter).execution()).isEqualTo(Execution.NOT_RUN);
    }

    @Test
    void roundTripsRecordsAndEventsAsJson() {
        List<JournalRecord> records =
                List.of(
                        new JournalRecord.ProgramStarted(PROGRAM, "intake"),
                        new JournalRecord.ProgramEnded(PROGRAM));
        byte[] bytes = JsonUtil.toBytes(records.toArray(new JournalRecord[0]));
        assertThat(JsonUtil.fromBytes(bytes, JournalRecord[].class)).isEqualTo(records.toArray());
        CallerEvent event = new CallerEvent.Ended(PROGRAM);
        assertThat(JsonUtil.fromBytes(JsonUtil.toBytes(event), CallerEvent.class)).isEqualTo(event);
    }
}
