package org.skylarkmast.core.scheduling;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.core.key.ProgramKey;

class CallSchedulerPropertyTest {
    private static final int STEPS = 400;
    private static final int RUNNERS = 3;

    static LongStream seeds() {
        return new Random(20261203).longs(200);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyCallEndsExactlyOnceWithTheCorrectOutcome(long seed) {
        RandomRun run = new RandomRun(new Random(seed));
        for (int step = 0; step < STEPS; step++) {
            run.step();
        }
        run.finish();

        assertThat(run.inFlight).isEmpty();
        assertThat(run.ended).containsExactlyElementsIn(run.submitted);
        assertThat(run.fixture.scheduler.queued()).isEqualTo(0);
        assertThat(run.fixture.scheduler.ownLoad()).isEmpty();
        assertThat(run.fixture.scheduler.pendingReleases()).isEqualTo(0);
    }

    /** Feeds random events and checks each action against the earlier events of its call. */
    private static final class RandomRun {
        private final Random random;
        private final SchedulerFixture fixture = new SchedulerFixture(RUNNERS, 2);
        private final Set<Long> submitted = new HashSet<>();
        private final Set<Long> ended = new HashSet<>();
        private final Set<Long> mayHaveRun = new HashSet<>();
        private final Map<Long, String> inFlight = new HashMap<>();
        private final Set<String> leaving = new HashSet<>();

        private RandomRun(Random random) {
            this.random = random;
        }

        private void step() {
            fixture.nowNs += random.nextInt(300) * SchedulerFixture.NS_PER_MS;
            switch (random.nextInt(9)) {
                case 0, 1, 2 -> submit();
                case 3 -> succeedRandomCall();
                case 4 -> failRandomCall();
                case 5 -> check(fixture.on(new SchedulingEvent.Tick()));
                case 6 -> toggleLeaving();
                case 7 -> answerEndedCall();
                default -> withdrawCallOrEndProgram();
            }
        }

        private void submit() {
            long callId = submitted.size();
            submitted.add(callId);
            ProgramKey program = new ProgramKey("one", "p" + random.nextInt(10));
            check(fixture.submit(callId, program, callId % 2 == 0, random.nextInt(3)));
        }

        private void succeedRandomCall() {
            for (long callId : pickInFlight()) {
                inFlight.remove(callId);
                end(callId);
                check(fixture.succeed(callId));
                check(fixture.succeed(callId));
            }
        }

        private void failRandomCall() {
            CallFailure[] failures = CallFailure.values();
            for (long callId : pickInFlight()) {
                CallFailure failure = failures[random.nextInt(failures.length)];
                inFlight.remove(callId);
                if (failure.mayHaveRun()) {
                    mayHaveRun.add(callId);
                }
                check(fixture.fail(callId, failure));
            }
        }

        /** Reports an answer of a call that is not in flight; it must have no effect. */
        private void answerEndedCall() {
            if (!submitted.isEmpty()) {
                long callId = random.nextInt(submitted.size());
                if (!inFlight.containsKey(callId)) {
                    assertThat(fixture.succeed(callId)).isEmpty();
                }
            }
        }

        private void toggleLeaving() {
            String runner = "r" + random.nextInt(RUNNERS);
            boolean nowLeaving = leaving.add(runner) || !leaving.remove(runner);
            check(fixture.on(new SchedulingEvent.RunnerLeaving(runner, nowLeaving)));
        }

        private void withdrawCallOrEndProgram() {
            if (random.nextBoolean()) {
                ProgramKey program = new ProgramKey("one", "p" + random.nextInt(10));
                check(fixture.on(new SchedulingEvent.ProgramEnded(program)));
                return;
            }
            for (long callId : pickInFlight()) {
                inFlight.remove(callId);
                end(callId);
                check(fixture.on(new SchedulingEvent.Withdrawn(callId)));
            }
        }

        private List<Long> pickInFlight() {
            List<Long> ids = new ArrayList<>(inFlight.keySet());
            return ids.isEmpty() ? List.of() : List.of(ids.get(random.nextInt(ids.size())));
        }

        private void finish() {
            check(fixture.tickAfter(120_000));
            for (int i = 0; i < RUNNERS; i++) {
                check(fixture.on(new SchedulingEvent.RunnerRestarted("r" + i)));
            }
        }

        private void end(long callId) {
            assertWithMessage("call %s ends once", callId).that(ended.add(callId)).isTrue();
        }

        private void check(List<SchedulingAction> actions) {
            for (SchedulingAction action : actions) {
                switch (action) {
                    case SchedulingAction.Dispatch dispatch -> checkDispatch(dispatch);
                    case SchedulingAction.Refuse refuse -> {
                        assertThat(refuse.retryAfterMs()).isGreaterThan(0);
                        assertThat(mayHaveRun).doesNotContain(refuse.callId());
                        assertThat(inFlight).doesNotContainKey(refuse.callId());
                        end(refuse.callId());
                    }
                    case SchedulingAction.GiveUp giveUp -> {
                        assertThat(giveUp.retryAfterMs()).isGreaterThan(0);
                        assertThat(giveUp.lastFailure().mayHaveRun())
                                .isEqualTo(mayHaveRun.contains(giveUp.callId()));
                        assertThat(inFlight).doesNotContainKey(giveUp.callId());
                        end(giveUp.callId());
                    }
                    case SchedulingAction.CancelAttempt cancel -> {
                        inFlight.remove(cancel.callId());
                        mayHaveRun.add(cancel.callId());
                    }
                    case SchedulingAction.ReleaseCache release -> {}
                }
            }
        }

        private void checkDispatch(SchedulingAction.Dispatch dispatch) {
            long callId = dispatch.callId();
            assertThat(leaving).doesNotContain(dispatch.runner());
            assertThat(ended).doesNotContain(callId);
            assertThat(callId % 2 != 0 && mayHaveRun.contains(callId)).isFalse();
            assertThat(inFlight.put(callId, dispatch.runner())).isNull();
        }
    }
}
