package org.skylarkmast.bench.history;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.bench.history.HistoryRecord.BudgetLimit;
import org.skylarkmast.bench.history.HistoryRecord.CallerAnswered;
import org.skylarkmast.bench.history.HistoryRecord.CallerCut;
import org.skylarkmast.bench.history.HistoryRecord.CallerSent;
import org.skylarkmast.bench.history.HistoryRecord.ConfigurationAccepted;
import org.skylarkmast.bench.history.HistoryRecord.ConfigurationSeen;
import org.skylarkmast.bench.history.HistoryRecord.EngineHeld;
import org.skylarkmast.bench.history.HistoryRecord.Execution;
import org.skylarkmast.bench.history.HistoryRecord.FaultEnded;
import org.skylarkmast.bench.history.HistoryRecord.FaultStarted;
import org.skylarkmast.bench.history.HistoryRecord.HistoryRead;
import org.skylarkmast.bench.history.HistoryRecord.Kind;
import org.skylarkmast.bench.history.HistoryRecord.Message;
import org.skylarkmast.bench.history.HistoryRecord.ProgramEnded;
import org.skylarkmast.bench.history.HistoryRecord.RunnerLeaving;
import org.skylarkmast.bench.history.HistoryRecord.RunnerLive;
import org.skylarkmast.bench.history.HistoryRecord.TargetSaw;

class HistoryCheckerTest {
    private static final String BIKE = "bangkok:bike-7";
    private static final String FAMILY = "lima:family-3";
    private static final AnswerRule RULE = prompt -> "w" + Integer.toHexString(prompt.hashCode());

    private static final Message ASK_1 = new Message("user", "the chain slips");
    private static final Message SAY_1 = said(List.of(ASK_1));
    private static final Message ASK_2 = new Message("user", "and the brake squeals");
    private static final Message SAY_2 = said(List.of(ASK_1, SAY_1, ASK_2));

    private final HistoryChecker checker = new HistoryChecker(RULE, CheckerLimits.PROMISED);

    @ParameterizedTest(name = "{0}")
    @MethodSource("goodHistories")
    void acceptsGoodHistories(String name, List<HistoryRecord> history) {
        assertThat(checker.check(history)).isEmpty();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("badHistories")
    void rejectsBadHistories(String name, Invariant broken, List<HistoryRecord> history) {
        assertThat(checker.check(history).stream().map(Violation::invariant).distinct())
                .containsExactly(broken);
    }

    @Test
    void readsBackWhatItWrote(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("history.jsonl");
        try (HistoryLog log = new HistoryLog(file)) {
            good().forEach(log);
        }
        assertThat(HistoryLog.read(file)).isEqualTo(good());
    }

    static Stream<Arguments> goodHistories() {
        return Stream.of(
                arguments("empty", List.of()),
                arguments("two turns and an order", good()),
                arguments(
                        "a repeatable call run again after its host was killed",
                        and(
                                new FaultStarted(104, "host-1", "kill"),
                                cut(105, "a1-cut"),
                                sent(101, "a1-cut", "k1", ASK_1.content()),
                                run(103, -1, "engine-2", "k1", 7, 0))),
                arguments(
                        "an order refused as not run, then run by the next attempt",
                        and(
                                orderSent(295, "a3-first", "k3"),
                                refused(299, "a3-first", Execution.NOT_RUN))),
                arguments(
                        "a refusal overtaken by another attempt's run",
                        and(
                                orderSent(305, "a3-again", "k3"),
                                refused(340, "a3-again", Execution.NOT_RUN))),
                arguments(
                        "a runner that left and came back",
                        and(
                                new RunnerLeaving(10, "engine-1"),
                                new RunnerLive(50, "engine-1"),
                                new RunnerLeaving(210, "engine-1"))),
                arguments(
                        "a node that was paused while the configuration spread",
                        and(
                                new FaultStarted(900, "host-2", "pause"),
                                new ConfigurationAccepted(1_000, 4),
                                new FaultEnded(20_000, "host-2"),
                                new ConfigurationSeen(20_010, "host-2", 3),
                                new ConfigurationSeen(20_900, "host-2", 4))),
                arguments(
                        "a cut by a host killed while answering",
                        and(
                                orderSent(400, "a4", "k4"),
                                new FaultStarted(401, "host-1", "kill"),
                                cut(402, "a4"))),
                arguments(
                        "a refused connection to a host that has shut down",
                        and(
                                orderSent(400, "a4", "k4"),
                                new CallerCut(401, "a4", false, "connection refused"))));
    }

    static Stream<Arguments> badHistories() {
        return Stream.of(programHistories(), lossHistories(), callHistories(), fleetHistories())
                .flatMap(histories -> histories);
    }

    private static Stream<Arguments> programHistories() {
        return Stream.of(
                arguments(
                        "two requests with the same turn",
                        Invariant.PROGRAM_ORDER,
                        replace(
                                answer -> answer.attempt().equals("a2"),
                                answer -> turn(answer, 1))),
                arguments(
                        "turn 2 begins while turn 1 runs",
                        Invariant.PROGRAM_ORDER,
                        and(run(105, 190, "engine-2", "k2", promptTokens(3), 3))),
                arguments(
                        "a resumed owner sends turn 1 again after turn 2",
                        Invariant.PROGRAM_ORDER,
                        and(run(220, 230, "engine-2", "k1", 7, 3))),
                arguments(
                        "turns numbered against the order of answers",
                        Invariant.PROGRAM_ORDER,
                        withoutReadBack(
                                replace(
                                        answer -> answer.attempt().equals("a1"),
                                        answer -> turn(answer, 9)))),
                arguments(
                        "tokens spent by a sub-agent exceed the budget",
                        Invariant.BUDGET,
                        and(
                                new BudgetLimit(1, BIKE, 100, 5),
                                new TargetSaw(
                                        250,
                                        260,
                                        "engine-1",
                                        Kind.MODEL,
                                        BIKE + "/parts",
                                        "s1",
                                        70,
                                        9))),
                arguments(
                        "more service calls than the budget allows",
                        Invariant.BUDGET,
                        and(new BudgetLimit(1, BIKE, 1_000, 0))));
    }

    private static Stream<Arguments> lossHistories() {
        return Stream.of(
                arguments(
                        "an acknowledged turn is lost",
                        Invariant.HISTORY_KEPT,
                        readBack(List.of(ASK_1, SAY_1))),
                arguments(
                        "an answer is lost",
                        Invariant.HISTORY_KEPT,
                        readBack(List.of(ASK_1, SAY_1, ASK_2))),
                arguments(
                        "a turn is kept twice",
                        Invariant.HISTORY_KEPT,
                        readBack(List.of(ASK_1, SAY_1, ASK_2, SAY_2, ASK_2, SAY_2))),
                arguments(
                        "another program's words are mixed in",
                        Invariant.HISTORY_KEPT,
                        readBack(
                                List.of(
                                        ASK_1,
                                        SAY_1,
                                        ASK_2,
                                        SAY_2,
                                        new Message("user", "three seats near the aisle")))),
                arguments(
                        "the engine was sent a prompt without the first turn",
                        Invariant.HISTORY_KEPT,
                        replace(
                                answer -> answer.attempt().equals("a2"),
                                answer -> text(answer, said(List.of(ASK_2)).content()),
                                List.of(ASK_1, SAY_1, ASK_2, said(List.of(ASK_2))))));
    }

    private static Stream<Arguments> callHistories() {
        return Stream.of(
                arguments(
                        "an answer without its last words",
                        Invariant.OWN_ANSWER,
                        andModel("m9", "k9", "w5-0 w5-1")),
                arguments(
                        "an answer with a gap",
                        Invariant.OWN_ANSWER,
                        andModel("m9", "k9", "w5-0 w5-2 w5-3")),
                arguments(
                        "two answers crossed",
                        Invariant.OWN_ANSWER,
                        andModel("m9", "k9", "w5-0 w6-1 w5-2")),
                arguments(
                        "the service's answer to another order",
                        Invariant.OWN_ANSWER,
                        replace(
                                answer -> answer.attempt().equals("a3"),
                                answer -> text(answer, "ran k99"))),
                arguments(
                        "an answer that no target gave",
                        Invariant.OWN_ANSWER,
                        and(orderSent(400, "a4", "k4"), answered(420, "a4", "ran k4", 0))),
                arguments(
                        "a caller left without an answer",
                        Invariant.OWN_ANSWER,
                        and(orderSent(400, "a4", "k4"))),
                arguments(
                        "attempts that got different answers",
                        Invariant.OWN_ANSWER,
                        and(
                                orderSent(400, "a3-b", "k3"),
                                answered(420, "a3-b", "ran k3 again", 0))),
                arguments(
                        "refused as not run although it had run",
                        Invariant.NOT_RUN_TRUE,
                        and(orderSent(400, "a3-b", "k3"), refused(410, "a3-b", Execution.NOT_RUN))),
                arguments(
                        "refused as not run and run later",
                        Invariant.NOT_RUN_TRUE,
                        and(
                                orderSent(400, "a4", "k4"),
                                refused(410, "a4", Execution.NOT_RUN),
                                order(430, "seat-1", "k4"))),
                arguments(
                        "an order run at two runners",
                        Invariant.AT_MOST_ONCE,
                        and(order(330, "seat-2", "k3"))));
    }

    private static Stream<Arguments> fleetHistories() {
        return Stream.of(
                arguments(
                        "an ended program's cache is held",
                        Invariant.ENGINE_MEMORY,
                        and(
                                new ProgramEnded(500, FAMILY),
                                new EngineHeld(900, "engine-1", FAMILY + "/usher"))),
                arguments(
                        "a leaving runner gets new work",
                        Invariant.LEAVING_TARGET,
                        and(new RunnerLeaving(201 - 5_002, "engine-1"))),
                arguments(
                        "a shutdown cuts an answer",
                        Invariant.GRACEFUL_SHUTDOWN,
                        and(orderSent(400, "a4", "k4"), cut(405, "a4"))),
                arguments(
                        "a shutdown leaves a call unknown",
                        Invariant.GRACEFUL_SHUTDOWN,
                        and(orderSent(400, "a4", "k4"), refused(410, "a4", Execution.UNKNOWN))),
                arguments(
                        "a cut by a host whose fault was over",
                        Invariant.GRACEFUL_SHUTDOWN,
                        and(
                                new FaultStarted(10, "host-1", "pause"),
                                new FaultEnded(20, "host-1"),
                                new FaultStarted(406, "host-1", "pause"),
                                orderSent(400, "a4", "k4"),
                                cut(405, "a4"))),
                arguments(
                        "a node goes back to an older configuration",
                        Invariant.CONFIGURATION,
                        and(
                                new ConfigurationSeen(500, "host-1", 4),
                                new ConfigurationSeen(600, "host-1", 3))),
                arguments(
                        "a node has not taken a configuration in time",
                        Invariant.CONFIGURATION,
                        and(
                                new ConfigurationAccepted(500, 4),
                                new ConfigurationSeen(13_501, "host-1", 3))));
    }

    private static List<HistoryRecord> good() {
        return List.of(
                sent(100, "a1", "k1", ASK_1.content()),
                run(101, 110, "engine-1", "k1", promptTokens(1), 3),
                answered(111, "a1", SAY_1.content(), 1),
                sent(200, "a2", "k2", ASK_2.content()),
                run(201, 210, "engine-1", "k2", promptTokens(3), 3),
                answered(211, "a2", SAY_2.content(), 2),
                orderSent(300, "a3", "k3"),
                order(310, "seat-1", "k3"),
                answered(320, "a3", "ran k3", 0),
                new BudgetLimit(350, BIKE, 100, 2),
                new HistoryRead(900, BIKE, List.of(ASK_1, SAY_1, ASK_2, SAY_2)));
    }

    private static Message said(List<Message> prompt) {
        String mark = RULE.mark(prompt);
        return new Message("assistant", mark + "-0 " + mark + "-1 " + mark + "-2");
    }

    private static long promptTokens(int messages) {
        return IntStream.range(0, messages)
                .mapToObj(List.of(ASK_1, SAY_1, ASK_2, SAY_2)::get)
                .mapToLong(message -> 4 + message.content().split(" ").length)
                .sum();
    }

    private static List<HistoryRecord> and(HistoryRecord... more) {
        List<HistoryRecord> all = new ArrayList<>(good());
        all.addAll(List.of(more));
        return all;
    }

    /** A model call of another program, answered with {@code text} after a run of three tokens. */
    private static List<HistoryRecord> andModel(String attempt, String key, String text) {
        return and(
                new CallerSent(400, attempt, "host-1", FAMILY, key, Kind.MODEL, true, "hello"),
                new TargetSaw(401, 405, "engine-1", Kind.MODEL, FAMILY, key, 5, 3),
                answered(410, attempt, text, 1));
    }

    private static List<HistoryRecord> withoutReadBack(List<HistoryRecord> history) {
        return history.stream().filter(record -> !(record instanceof HistoryRead)).toList();
    }

    private static List<HistoryRecord> readBack(List<Message> messages) {
        return replace(answer -> false, answer -> answer, messages);
    }

    private static List<HistoryRecord> replace(
            Predicate<CallerAnswered> which, UnaryOperator<CallerAnswered> change) {
        return replace(which, change, List.of(ASK_1, SAY_1, ASK_2, SAY_2));
    }

    private static List<HistoryRecord> replace(
            Predicate<CallerAnswered> which,
            UnaryOperator<CallerAnswered> change,
            List<Message> messages) {
        List<HistoryRecord> all = new ArrayList<>();
        for (HistoryRecord record : good()) {
            all.add(
                    switch (record) {
                        case CallerAnswered answer when which.test(answer) -> change.apply(answer);
                        case HistoryRead read -> new HistoryRead(900, read.program(), messages);
                        default -> record;
                    });
        }
        return all;
    }

    private static CallerAnswered turn(CallerAnswered answer, int turn) {
        return answered(answer.atMs(), answer.attempt(), answer.text(), turn);
    }

    private static CallerAnswered text(CallerAnswered answer, String text) {
        return answered(answer.atMs(), answer.attempt(), text, answer.turn());
    }

    private static CallerSent sent(long atMs, String attempt, String key, String text) {
        return new CallerSent(atMs, attempt, "host-1", BIKE, key, Kind.MODEL, true, text);
    }

    private static CallerSent orderSent(long atMs, String attempt, String key) {
        return new CallerSent(atMs, attempt, "host-1", BIKE, key, Kind.SERVICE, false, "a part");
    }

    private static CallerAnswered answered(long atMs, String attempt, String text, int turn) {
        return new CallerAnswered(atMs, attempt, 200, Execution.RAN, text, turn, -1);
    }

    private static CallerAnswered refused(long atMs, String attempt, Execution execution) {
        return new CallerAnswered(atMs, attempt, 503, execution, "", 0, -1);
    }

    private static CallerCut cut(long atMs, String attempt) {
        return new CallerCut(atMs, attempt, true, "connection reset");
    }

    private static TargetSaw run(
            long atMs, long endMs, String runner, String key, long promptTokens, long output) {
        return new TargetSaw(atMs, endMs, runner, Kind.MODEL, BIKE, key, promptTokens, output);
    }

    private static TargetSaw order(long atMs, String runner, String key) {
        return new TargetSaw(atMs, atMs, runner, Kind.SERVICE, BIKE, key, 0, 0);
    }
}
