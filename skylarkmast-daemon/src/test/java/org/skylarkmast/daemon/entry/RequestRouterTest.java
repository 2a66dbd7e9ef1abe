package org.skylarkmast.daemon.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.OwnerLocation;
import org.skylarkmast.core.ownership.PartitionDirectory;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.CallerRequest;
import org.skylarkmast.core.program.Execution;
import org.skylarkmast.core.program.Operation;
import org.skylarkmast.core.program.Refusal;
import org.skylarkmast.core.program.TurnSummary;

class RequestRouterTest {
    private static final ProgramKey JOB = new ProgramKey("cycle", "job-1");
    private static final CallerRequest REQUEST =
            new CallerRequest(JOB, "intake", "k1", "d", "", new Operation.ReadProgram());

    private static final long NS_PER_MS = 1_000_000;

    private final List<CallerEvent> received = new ArrayList<>();
    private final AtomicLong nowNs = new AtomicLong();

    @ParameterizedTest(name = "{0}")
    @MethodSource("ownerChanges")
    void mergesTheEventsOfSuccessiveOwners(
            String name, List<List<Object>> repliesByOwner, String expected) {
        serve(repliesByOwner);
        assertThat(format()).isEqualTo(expected);
    }

    static Stream<Arguments> ownerChanges() {
        Object lost = "gone";
        Object notAccepted = "";
        return Stream.of(
                Arguments.of("one owner", List.of(List.of(token(0, "a"), answer("a"))), "a|a."),
                Arguments.of(
                        "owner is lost midway",
                        List.of(
                                List.of(token(0, "a"), lost),
                                List.of(token(0, "a"), token(1, "b"), answer("ab"))),
                        "a|b|ab."),
                Arguments.of(
                        "next owner has the stored answer",
                        List.of(List.of(token(0, "a"), lost), List.of(answer("ab"))),
                        "a|b|ab."),
                Arguments.of(
                        "next owner gives a different answer",
                        List.of(List.of(token(0, "a"), lost), List.of(token(0, "x"), answer("x"))),
                        "a|UNKNOWN."),
                Arguments.of(
                        "next owner refuses what the first may have executed",
                        List.of(
                                List.of(lost),
                                List.of(
                                        new CallerEvent.Refused(
                                                new Refusal(
                                                        Refusal.Kind.BUDGET_SPENT,
                                                        "budget is spent",
                                                        Execution.NOT_RUN,
                                                        0)))),
                        "UNKNOWN."),
                Arguments.of(
                        "first node no longer owns the program",
                        List.of(List.of(notAccepted), List.of(answer("a"))),
                        "a|a."),
                Arguments.of(
                        "owner hands over the program",
                        List.of(List.of(moved(Execution.NOT_RUN)), List.of(answer("a"))),
                        "a|a."));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("repliesOfEveryOwner")
    void refusesAsNotRunOnlyIfNoOwnerAcceptedTheRequest(Object reply, Execution expected) {
        serve(Stream.generate(() -> List.of(reply)).limit(500).toList());
        CallerEvent.Refused last = (CallerEvent.Refused) received.getLast();
        assertThat(last.refusal().execution()).isEqualTo(expected);
        assertThat(last.refusal().retryAfterMs()).isGreaterThan(0);
    }

    static Stream<Arguments> repliesOfEveryOwner() {
        return Stream.of(
                Arguments.of("", Execution.NOT_RUN),
                Arguments.of("gone", Execution.UNKNOWN),
                Arguments.of(moved(Execution.UNKNOWN), Execution.UNKNOWN));
    }

    @Test
    void stopsWaitingWhenTheCallerLeaves() {
        int[] stopCount = {0};
        RequestRouter router =
                router(
                        (owner, request, onEvent, onFailure) -> {
                            onEvent.accept(token(0, "a"));
                            return () -> stopCount[0]++;
                        });
        router.serve(REQUEST, event -> false);
        assertThat(stopCount[0]).isEqualTo(1);
    }

    private void serve(List<List<Object>> repliesByOwner) {
        Deque<List<Object>> replies = new ArrayDeque<>(repliesByOwner);
        RequestRouter router =
                router(
                        (owner, request, onEvent, onFailure) -> {
                            replies.remove().forEach(reply -> deliver(reply, onEvent, onFailure));
                            return () -> {};
                        });
        router.serve(REQUEST, event -> received.add(event));
    }

    private RequestRouter router(OwnerClient ownerClient) {
        PartitionDirectory directory =
                new PartitionDirectory() {
                    @Override
                    public Optional<OwnerLocation> ownerOf(int partition) {
                        return Optional.of(new OwnerLocation("i", "n", "127.0.0.1:1", 1));
                    }

                    @Override
                    public boolean ownedHere(int partition, long atNs) {
                        return false;
                    }

                    @Override
                    public boolean heldHere(int partition) {
                        return false;
                    }

                    @Override
                    public void refresh(int partition) {}
                };
        return new RequestRouter(
                directory,
                owner -> true,
                ownerClient,
                nowNs::get,
                () -> 0,
                ms -> nowNs.addAndGet(ms * NS_PER_MS));
    }

    private static void deliver(
            Object reply, Consumer<CallerEvent> onEvent, Consumer<String> onFailure) {
        if (reply instanceof CallerEvent event) {
            onEvent.accept(event);
        } else {
            onFailure.accept((String) reply);
        }
    }

    private String format() {
        StringBuilder text = new StringBuilder();
        for (CallerEvent event : received) {
            switch (event) {
                case CallerEvent.Token token -> text.append(token.text()).append('|');
                case CallerEvent.ModelAnswered answered -> text.append(answered.text()).append('.');
                case CallerEvent.Refused refused ->
                        text.append(refused.refusal().execution()).append('.');
                default -> throw new AssertionError("unexpected " + event);
            }
        }
        return text.toString();
    }

    private static CallerEvent token(int index, String text) {
        return new CallerEvent.Token(index, text);
    }

    private static CallerEvent answer(String text) {
        return new CallerEvent.ModelAnswered(
                text, new TurnSummary(JOB, "m", 1, 1, 1, 1, 0, 1, 1, 1, false));
    }

    private static CallerEvent moved(Execution execution) {
        return new CallerEvent.Refused(
                new Refusal(Refusal.Kind.OWNER_MOVED, "owner moved", execution, 1));
    }
}
