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

    private final List<CallerEvent> heard = new ArrayList<>();
    private final AtomicLong nowNs = new AtomicLong();

    @ParameterizedTest(name = "{0}")
    @MethodSource("changesOfOwner")
    void makesOneAnswerOfSeveralOwners(String name, List<List<Object>> owners, String expected) {
        serve(owners);
        assertThat(told()).isEqualTo(expected);
    }

    static Stream<Arguments> changesOfOwner() {
        Object gone = "gone";
        Object notTaken = "";
        return Stream.of(
                Arguments.of("one owner", List.of(List.of(token(0, "a"), answer("a"))), "a|a."),
                Arguments.of(
                        "owner breaks off midway",
                        List.of(
                                List.of(token(0, "a"), gone),
                                List.of(token(0, "a"), token(1, "b"), answer("ab"))),
                        "a|b|ab."),
                Arguments.of(
                        "next owner has the stored answer",
                        List.of(List.of(token(0, "a"), gone), List.of(answer("ab"))),
                        "a|b|ab."),
                Arguments.of(
                        "next owner answers otherwise",
                        List.of(List.of(token(0, "a"), gone), List.of(token(0, "x"), answer("x"))),
                        "a|UNKNOWN."),
                Arguments.of(
                        "next owner refuses what the first may have run",
                        List.of(
                                List.of(gone),
                                List.of(
                                        new CallerEvent.Refused(
                                                new Refusal(
                                                        Refusal.Kind.BUDGET_SPENT,
                                                        "spent",
                                                        Execution.NOT_RUN,
                                                        0)))),
                        "UNKNOWN."),
                Arguments.of(
                        "not the owner any longer",
                        List.of(List.of(notTaken), List.of(answer("a"))),
                        "a|a."),
                Arguments.of(
                        "handing over",
                        List.of(List.of(moved(Execution.NOT_RUN)), List.of(answer("a"))),
                        "a|a."));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("deadEnds")
    void saysNotRunOnlyIfNoOwnerTookTheRequest(Object onlyReply, Execution expected) {
        serve(Stream.generate(() -> List.of(onlyReply)).limit(500).toList());
        CallerEvent.Refused last = (CallerEvent.Refused) heard.getLast();
        assertThat(last.refusal().execution()).isEqualTo(expected);
        assertThat(last.refusal().retryAfterMs()).isGreaterThan(0);
    }

    static Stream<Arguments> deadEnds() {
        return Stream.of(
                Arguments.of("", Execution.NOT_RUN),
                Arguments.of("gone", Execution.UNKNOWN),
                Arguments.of(moved(Execution.UNKNOWN), Execution.UNKNOWN));
    }

    @Test
    void stopsWhenTheCallerLeft() {
        int[] left = {0};
        RequestRouter router =
                router(
                        (owner, request, events, gone) -> {
                            events.accept(token(0, "a"));
                            return () -> left[0]++;
                        });
        router.serve(REQUEST, event -> false);
        assertThat(left[0]).isEqualTo(1);
    }

    private void serve(List<List<Object>> owners) {
        Deque<List<Object>> replies = new ArrayDeque<>(owners);
        RequestRouter router =
                router(
                        (owner, request, events, gone) -> {
                            replies.remove().forEach(reply -> tell(reply, events, gone));
                            return () -> {};
                        });
        router.serve(REQUEST, event -> heard.add(event));
    }

    private RequestRouter router(OwnerLink link) {
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
                link,
                nowNs::get,
                () -> 0,
                ms -> nowNs.addAndGet(ms * NS_PER_MS));
    }

    private static void tell(Object reply, Consumer<CallerEvent> events, Consumer<String> gone) {
        if (reply instanceof CallerEvent event) {
            events.accept(event);
        } else {
            gone.accept((String) reply);
        }
    }

    private String told() {
        StringBuilder text = new StringBuilder();
        for (CallerEvent event : heard) {
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
                new Refusal(Refusal.Kind.OWNER_MOVED, "moved", execution, 1));
    }
}
