package org.skylarkmast.core.scheduling;

import static com.google.common.truth.Truth.assertThat;
import static org.skylarkmast.core.scheduling.SchedulerFixture.dispatched;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.key.ProgramKey;

class CallSchedulerTest {

    @ParameterizedTest(name = "{0}, repeatable {1}: {2}")
    @CsvSource({
        "NOT_SENT, false, Dispatch",
        "BUSY, false, Dispatch",
        "BROKEN, false, GiveUp",
        "TIMED_OUT, false, GiveUp",
        "TARGET_ERROR, false, GiveUp",
        "STALE_EPOCH, false, GiveUp",
        "NOT_SENT, true, Dispatch",
        "BUSY, true, Dispatch",
        "BROKEN, true, Dispatch",
        "TIMED_OUT, true, Dispatch",
        "TARGET_ERROR, true, Dispatch",
        "STALE_EPOCH, true, GiveUp"
    })
    void retriesOnlyCallsThatDidNotRunOrAreRepeatable(
            CallFailure failure, boolean repeatable, String expected) {
        SchedulerFixture fixture = new SchedulerFixture(2, 4);
        fixture.submit(1, "p", repeatable);

        List<SchedulingAction> actions = fixture.fail(1, failure);

        assertThat(actions).hasSize(1);
        assertThat(actions.getFirst().getClass().getSimpleName()).isEqualTo(expected);
    }

    @Test
    void retriesOnAnotherRunner() {
        SchedulerFixture fixture = new SchedulerFixture(2, 4);
        SchedulingAction.Dispatch first =
                (SchedulingAction.Dispatch) fixture.submit(1, "p", true).getFirst();

        SchedulingAction.Dispatch second =
                (SchedulingAction.Dispatch) fixture.fail(1, CallFailure.BROKEN).getFirst();

        assertThat(second.runner()).isNotEqualTo(first.runner());
        assertThat(second.attempt()).isEqualTo(2);
    }

    @Test
    void neverRefusesACallThatMayHaveRun() {
        SchedulerFixture fixture = new SchedulerFixture(2, 4);
        fixture.submit(1, "p", true);
        fixture.fail(1, CallFailure.BROKEN);

        List<SchedulingAction> actions = fixture.fail(1, CallFailure.STALE_EPOCH);

        assertThat(actions).hasSize(1);
        assertThat(((SchedulingAction.GiveUp) actions.getFirst()).lastFailure())
                .isEqualTo(CallFailure.BROKEN);
    }

    @Test
    void refusesImmediatelyWithoutAvailableRunner() {
        SchedulerFixture fixture = new SchedulerFixture(1, 4);
        fixture.on(new SchedulingEvent.RunnerLeaving("r0", true));

        List<SchedulingAction> actions = fixture.submit(1, "p", true);

        SchedulingAction.Refuse refusal = (SchedulingAction.Refuse) actions.getFirst();
        assertThat(refusal.reason()).isEqualTo(RefusalReason.NO_RUNNER);
        assertThat(refusal.retryAfterMs()).isGreaterThan(0);
    }

    @Test
    void refusesQueuedCallsWhenTheLastRunnerLeaves() {
        SchedulerFixture fixture = new SchedulerFixture(1, 1);
        fixture.submit(1, "p", true);
        fixture.submit(2, "q", true);

        List<SchedulingAction> actions =
                fixture.on(new SchedulingEvent.ConfigurationChanged(Configuration.EMPTY));

        assertThat(actions).hasSize(1);
        assertThat(((SchedulingAction.Refuse) actions.getFirst()).callId()).isEqualTo(2);
    }

    @Test
    void limitsQueuedCallsOfAWorkspace() {
        SchedulerFixture fixture = new SchedulerFixture(1, 1);
        List<SchedulingAction> actions = new ArrayList<>();
        for (int i = 0; i < 22; i++) {
            actions.addAll(fixture.submit(i, "p" + i, true));
        }

        assertThat(fixture.scheduler.queued()).isEqualTo(20);
        assertThat(((SchedulingAction.Refuse) actions.getLast()).reason())
                .isEqualTo(RefusalReason.WORKSPACE_LIMIT);
    }

    @Test
    void cancelsACallWithoutOutputAtItsDeadline() {
        SchedulerFixture fixture = new SchedulerFixture(1, 1);
        fixture.submit(1, "p", true);

        List<SchedulingAction> actions = fixture.tickAfter(60_000);

        assertThat(actions).contains(new SchedulingAction.CancelAttempt(1, "r0"));
        assertThat(((SchedulingAction.GiveUp) actions.getLast()).lastFailure())
                .isEqualTo(CallFailure.TIMED_OUT);
        assertThat(fixture.succeed(1)).isEmpty();
    }

    @Test
    void refusesCallsQueuedForTheMaximumWait() {
        SchedulerFixture fixture = new SchedulerFixture(1, 1);
        fixture.submit(1, "p", true);
        fixture.submit(2, "q", true);

        List<SchedulingAction> actions = fixture.tickAfter(SchedulerFixture.MAX_WAIT_MS);

        assertThat(((SchedulingAction.Refuse) actions.getFirst()).reason())
                .isEqualTo(RefusalReason.WAITED_TOO_LONG);
    }

    @Test
    void runsHigherPriorityFirst() {
        SchedulerFixture fixture = new SchedulerFixture(1, 1);
        fixture.submit(1, "p", true);
        fixture.submit(2, "q", true);
        fixture.submit(3, new ProgramKey("one", "r"), true, 9);

        assertThat(dispatched(fixture.succeed(1))).containsExactly(3L);
    }

    @Test
    void sharesCapacityBetweenWorkspacesByWeight() {
        SchedulerFixture fixture = new SchedulerFixture(1, 1);
        fixture.submit(0, "first", true);
        for (int i = 1; i <= 16; i++) {
            fixture.submit(i, new ProgramKey("one", "p" + i), true, 1);
            fixture.submit(100 + i, new ProgramKey("two", "q" + i), true, 1);
        }
        int callsOfWorkspaceTwo = 0;
        long runningCallId = 0;
        for (int i = 0; i < 16; i++) {
            runningCallId = dispatched(fixture.succeed(runningCallId)).getFirst();
            callsOfWorkspaceTwo += runningCallId > 100 ? 1 : 0;
        }

        assertThat(callsOfWorkspaceTwo).isAtLeast(11);
        assertThat(callsOfWorkspaceTwo).isAtMost(13);
    }

    @Test
    void prefersTheRunnerThatCachesThePrefix() {
        SchedulerFixture fixture = new SchedulerFixture(3, 4);
        String runner =
                ((SchedulingAction.Dispatch) fixture.submit(1, "p", true).getFirst()).runner();
        fixture.nowNs += 500 * SchedulerFixture.NS_PER_MS;
        fixture.succeed(1);

        for (int callId = 2; callId < 6; callId++) {
            SchedulingAction action = fixture.submit(callId, "p", true).getFirst();
            assertThat(((SchedulingAction.Dispatch) action).runner()).isEqualTo(runner);
            fixture.succeed(callId);
        }
    }

    @Test
    void repeatsTheReleaseOfAnEndedProgramUntilItIsConfirmed() {
        SchedulerFixture fixture = new SchedulerFixture(1, 4);
        ProgramKey program = new ProgramKey("one", "p");
        SchedulingAction release = new SchedulingAction.ReleaseCache("r0", program);
        fixture.submit(1, "p", true);
        fixture.succeed(1);

        assertThat(fixture.on(new SchedulingEvent.ProgramEnded(program))).containsExactly(release);
        assertThat(fixture.tickAfter(1_000)).containsExactly(release);
        fixture.on(new SchedulingEvent.CacheReleased("r0", program));
        assertThat(fixture.tickAfter(60_000)).isEmpty();
        assertThat(fixture.on(new SchedulingEvent.CacheReported("r0", 1, program, 10)))
                .containsExactly(release);
    }

    @Test
    void releasesAnAdoptedProgramOnAllEngines() {
        SchedulerFixture fixture = new SchedulerFixture(3, 4);
        ProgramKey program = new ProgramKey("one", "p");
        fixture.on(new SchedulingEvent.ProgramAdopted(program));

        assertThat(fixture.on(new SchedulingEvent.ProgramEnded(program))).hasSize(3);
    }

    @Test
    void releasesTheCacheAgainWhenACallOutlivesItsProgram() {
        SchedulerFixture fixture = new SchedulerFixture(1, 4);
        ProgramKey program = new ProgramKey("one", "p");
        fixture.submit(1, "p", true);
        fixture.on(new SchedulingEvent.ProgramEnded(program));
        fixture.on(new SchedulingEvent.CacheReleased("r0", program));

        assertThat(fixture.succeed(1))
                .containsExactly(new SchedulingAction.ReleaseCache("r0", program));
    }

    @ParameterizedTest
    @EnumSource(
            value = CallFailure.class,
            names = {"NOT_SENT", "BROKEN", "TIMED_OUT", "TARGET_ERROR"})
    void ejectsAFailingRunnerAndProbesItLater(CallFailure failure) {
        SchedulerFixture fixture = new SchedulerFixture(1, 4);
        for (int i = 0; i < 3; i++) {
            fixture.submit(i, new ProgramKey("one", "p" + i), false, 1);
        }
        for (int i = 0; i < 3; i++) {
            fixture.fail(i, failure);
        }

        assertThat(dispatched(fixture.submit(9, "q", true))).isEmpty();
        fixture.submit(10, "s", true);
        assertThat(dispatched(fixture.tickAfter(1_000))).hasSize(1);
    }
}
