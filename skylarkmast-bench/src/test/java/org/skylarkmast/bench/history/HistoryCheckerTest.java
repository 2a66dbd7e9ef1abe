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
import org.skylarkmast.bench.history.HistoryRecord.CallerDisconnected;
import org.skylarkmast.bench.history.HistoryRecord.CallerSent;
import org.skylarkmast.bench.history.HistoryRecord.ConfigurationAccepted;
import org.skylarkmast.bench.history.HistoryRecord.ConfigurationSeen;
import org.skylarkmast.bench.history.HistoryRecord.EngineCacheHeld;
import org.skylarkmast.bench.history.HistoryRecord.Execution;
import org.skylarkmast.bench.history.HistoryRecord.FaultEnded;
import org.skylarkmast.bench.history.HistoryRecord.FaultStarted;
import org.skylarkmast.bench.history.HistoryRecord.HistoryRead;
import org.skylarkmast.bench.history.HistoryRecord.Kind;
import org.skylarkmast.bench.history.HistoryRecord.Message;
import org.skylarkmast.bench.history.HistoryRecord.ProgramEnded;
import org.skylarkmast.bench.history.HistoryRecord.RunnerLeaving;
import org.skylarkmast.bench.history.HistoryRecord.RunnerLive;
import org.skylarkmast.bench.history.HistoryRecord.TargetCall;

class HistoryCheckerTest {
    private static final String BIKE = "bangkok:bike-7";
    private static final String FAMILY = "lima:family-3";
    private static final AnswerRule ANSWER_RULE =
            prompt -> "w" + Integer.toHexString(prompt.hashCode());

    private static final Message USER_MESSAGE_1 = new Message("user", "the chain slips");
    private static final Message ANSWER_1 = answerTo(List.of(USER_MESSAGE_1));
    private static final Message USER_MESSAGE_2 = new Message("user", "and the brake squeals");
    private static final Message ANSWER_2 =
            answerTo(List.of(USER_MESSAGE_1, ANSWER_1, USER_MESSAGE_2));

    private final HistoryChecker checker =
            new HistoryChecker(ANSWER_RULE, CheckerLimits.GUARANTEED);

    @ParameterizedTest(name = "{0}")
    @MethodSource("validHistories")
    void acceptsValidHistories(String name, List<HistoryRecord> history) {
        assertThat(checker.check(history)).isEmpty();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidHistories")
    void rejectsInvalidHistories(String name, Invariant broken, List<HistoryRecord> history) {
        assertThat(checker.check(history).stream().map(Violation::invariant).distinct())
                .containsExactly(broken);
    }

    @Test
    void readsRecordsItWrote(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("history.jsonl");
        try (HistoryLog log = new HistoryLog(file)) {
            validHistory().forEach(log);
        }
        assertThat(HistoryLog.read(file)).isEqualTo(validHistory());
    }

    static Stream<Arguments> validHistories() {
        return Stream.of(
                arguments("empty", List.of()),
                arguments("two turns and an order", validHistory()),
                arguments(
                        "a repeatable call run again after its host was killed",
                        validHistoryWith(
                                new FaultStarted(104, "host-1", "kill"),
                                disconnected(105, "a1-cut"),
                                sent(101, "a1-cut", "k1", USER_MESSAGE_1.content()),
                                modelRun(103, -1, "engine-2", "k1", 7, 0))),
                arguments(
                        "an order refused as not run, then run by the next attempt",
                        validHistoryWith(
                                orderSent(295, "a3-first", "k3"),
                                refused(299, "a3-first", Execution.NOT_RUN))),
                arguments(
                        "a refusal after which another attempt ran",
                        validHistoryWith(
                                orderSent(305, "a3-again", "k3"),
                                refused(340, "a3-again", Execution.NOT_RUN))),
                arguments(
                        "a runner that left and came back",
                        validHistoryWith(
                                new RunnerLeaving(10, "engine-1"),
                                new RunnerLive(50, "engine-1"),
                                new RunnerLeaving(210, "engine-1"))),
                arguments(
                        "a node paused while a configuration was rolled out",
                        validHistoryWith(
                                new FaultStarted(900, "host-2", "pause"),
                                new ConfigurationAccepted(1_000, 4),
                                new FaultEnded(20_000, "host-2"),
                                new ConfigurationSeen(20_010, "host-2", 3),
                                new ConfigurationSeen(20_900, "host-2", 4))),
                arguments(
                        "a connection lost to a host killed while answering",
                        validHistoryWith(
                                orderSent(400, "a4", "k4"),
                                new FaultStarted(401, "host-1", "kill"),
                                disconnected(402, "a4"))),
                arguments(
                        "a refused connection to a host that has shut down",
                        validHistoryWith(
                                orderSent(400, "a4", "k4"),
                                new CallerDisconnected(401, "a4", false, "connection refused"))));
    }

    static Stream<Arguments> invalidHistories() {
        return Stream.of(
                        programHistories(),
                        historyLossHistories(),
                        requestHistories(),
                        clusterHistories())
                .flatMap(histories -> histories);
    }

    private static Stream<Arguments> programHistories() {
        return Stream.of(
                arguments(
                        "two requests with the same turn",
                        Invariant.PROGRAM_ORDER,
                        replace(
                                answer -> answer.attempt().equals("a2"),
                                answer -> withTurn(answer, 1))),
                arguments(
                        "turn 2 begins while turn 1 runs",
                        Invariant.PROGRAM_ORDER,
                        validHistoryWith(modelRun(105, 190, "engine-2", "k2", promptTokens(3), 3))),
                arguments(
                        "a resumed owner sends turn 1 again after turn 2",
                        Invariant.PROGRAM_ORDER,
                        validHistoryWith(modelRun(220, 230, "engine-2", "k1", 7, 3))),
                arguments(
                        "turn numbers contrary to the order of answers",
                        Invariant.PROGRAM_ORDER,
                        withoutReadBack(
                                replace(
                                        answer -> answer.attempt().equals("a1"),
                                        answer -> withTurn(answer, 9)))),
                arguments(
                        "tokens spent by a sub-agent exceed the budget",
                        Invariant.BUDGET,
                        validHistoryWith(
                                new BudgetLimit(1, BIKE, 100, 5),
                                new TargetCall(
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
                        validHistoryWith(new BudgetLimit(1, BIKE, 1_000, 0))));
    }

    private static Stream<Arguments> historyLossHistories() {
        return Stream.of(
                arguments(
                        "an acknowledged turn is lost",
                        Invariant.HISTORY_KEPT,
                        withReadBack(List.of(USER_MESSAGE_1, ANSWER_1))),
                arguments(
                        "an answer is lost",
                        Invariant.HISTORY_KEPT,
                        withReadBack(List.of(USER_MESSAGE_1, ANSWER_1, USER_MESSAGE_2))),
                arguments(
                        "a turn is stored twice",
                        Invariant.HISTORY_KEPT,
                        withReadBack(
                                List.of(
                                        USER_MESSAGE_1,
                                        ANSWER_1,
                                        USER_MESSAGE_2,
                                        ANSWER_2,
                                        USER_MESSAGE_2,
                                        ANSWER_2))),
                arguments(
                        "the history contains a message of another program",
                        Invariant.HISTORY_KEPT,
                        withReadBack(
                                List.of(
                                        USER_MESSAGE_1,
                                        ANSWER_1,
                                        USER_MESSAGE_2,
                                        ANSWER_2,
                                        new Message("user", "three seats near the aisle")))),
                arguments(
                        "the engine was sent a prompt without the first turn",
                        Invariant.HISTORY_KEPT,
                        replace(
                                answer -> answer.attempt().equals("a2"),
                                answer ->
                                        withText(
                                                answer,
                                                answerTo(List.of(USER_MESSAGE_2)).content()),
                                List.of(
                                        USER_MESSAGE_1,
                                        ANSWER_1,
                                        USER_MESSAGE_2,
                                        answerTo(List.of(USER_MESSAGE_2))))));
    }

    private static Stream<Arguments> requestHistories() {
        return Stream.of(
                arguments(
                        "an answer without its last words",
                        Invariant.OWN_ANSWER,
                        validHistoryWithModelCall("m9", "k9", "w5-0 w5-1")),
                arguments(
                        "an answer with a gap",
                        Invariant.OWN_ANSWER,
                        validHistoryWithModelCall("m9", "k9", "w5-0 w5-2 w5-3")),
                arguments(
                        "words of two answers interleaved",
                        Invariant.OWN_ANSWER,
                        validHistoryWithModelCall("m9", "k9", "w5-0 w6-1 w5-2")),
                arguments(
                        "the service's answer to another order",
                        Invariant.OWN_ANSWER,
                        replace(
                                answer -> answer.attempt().equals("a3"),
                                answer -> withText(answer, "ran k99"))),
                arguments(
                        "an answer without a run at a target",
                        Invariant.OWN_ANSWER,
                        validHistoryWith(
                                orderSent(400, "a4", "k4"), answered(420, "a4", "ran k4", 0))),
                arguments(
                        "a caller left without an answer",
                        Invariant.OWN_ANSWER,
                        validHistoryWith(orderSent(400, "a4", "k4"))),
                arguments(
                        "attempts that got different answers",
                        Invariant.OWN_ANSWER,
                        validHistoryWith(
                                orderSent(400, "a3-b", "k3"),
                                answered(420, "a3-b", "ran k3 again", 0))),
                arguments(
                        "refused as not run although it had run",
                        Invariant.NOT_RUN_TRUE,
                        validHistoryWith(
                                orderSent(400, "a3-b", "k3"),
                                refused(410, "a3-b", Execution.NOT_RUN))),
                arguments(
                        "refused as not run and run later",
                        Invariant.NOT_RUN_TRUE,
                        validHistoryWith(
                                orderSent(400, "a4", "k4"),
                                refused(410, "a4", Execution.NOT_RUN),
                                orderRun(430, "seat-1", "k4"))),
                arguments(
                        "an order run at two runners",
                        Invariant.AT_MOST_ONCE,
                        validHistoryWith(orderRun(330, "seat-2", "k3"))));
    }

    private static Stream<Arguments> clusterHistories() {
        return Stream.of(
                arguments(
                        "an engine holds the cache of an ended program",
                        Invariant.ENGINE_MEMORY,
                        validHistoryWith(
                                new ProgramEnded(500, FAMILY),
                                new EngineCacheHeld(900, "engine-1", FAMILY + "/usher"))),
                arguments(
                        "a leaving runner receives a new call",
                        Invariant.LEAVING_TARGET,
                        validHistoryWith(new RunnerLeaving(201 - 5_002, "engine-1"))),
                arguments(
                        "a shutdown interrupts an answer",
                        Invariant.GRACEFUL_SHUTDOWN,
                        validHistoryWith(orderSent(400, "a4", "k4"), disconnected(405, "a4"))),
                arguments(
                        "a shutdown leaves the execution of a call unknown",
                        Invariant.GRACEFUL_SHUTDOWN,
                        validHistoryWith(
                                orderSent(400, "a4", "k4"), refused(410, "a4", Execution.UNKNOWN))),
                arguments(
                        "a connection lost to a host whose fault had ended",
                        Invariant.GRACEFUL_SHUTDOWN,
                        validHistoryWith(
                                new FaultStarted(10, "host-1", "pause"),
                                new FaultEnded(20, "host-1"),
                                new FaultStarted(406, "host-1", "pause"),
                                orderSent(400, "a4", "k4"),
                                disconnected(405, "a4"))),
                arguments(
                        "a node reverts to an older configuration",
                        Invariant.CONFIGURATION,
                        validHistoryWith(
                                new ConfigurationSeen(500, "host-1", 4),
                                new ConfigurationSeen(600, "host-1", 3))),
                arguments(
                        "a node has not applied a configuration in time",
                        Invariant.CONFIGURATION,
                        validHistoryWith(
                                new ConfigurationAccepted(500, 4),
                                new ConfigurationSeen(13_501, "host-1", 3))));
    }

    private static List<HistoryRecord> validHistory() {
        return List.of(
                sent(100, "a1", "k1", USER_MESSAGE_1.content()),
                modelRun(101, 110, "engine-1", "k1", promptTokens(1), 3),
                answered(111, "a1", ANSWER_1.content(), 1),
                sent(200, "a2", "k2", USER_MESSAGE_2.content()),
                modelRun(201, 210, "engine-1", "k2", promptTokens(3), 3),
                answered(211, "a2", ANSWER_2.content(), 2),
                orderSent(300, "a3", "k3"),
                orderRun(310, "seat-1", "k3"),
                answered(320, "a3", "ran k3", 0),
                new BudgetLimit(350, BIKE, 100, 2),
                new HistoryRead(
                        900, BIKE, List.of(USER_MESSAGE_1, ANSWER_1, USER_MESSAGE_2, ANSWER_2)));
    }

    private static Message answerTo(List<Message> prompt) {
        String prefix = ANSWER_RULE.wordPrefix(prompt);
        return new Message("assistant", prefix + "-0 " + prefix + "-1 " + prefix + "-2");
    }

    private static long promptTokens(int messages) {
        return IntStream.range(0, messages)
                .mapToObj(List.of(USER_MESSAGE_1, ANSWER_1, USER_MESSAGE_2, ANSWER_2)::get)
                .mapToLong(message -> 4 + message.content().split(" ").length)
                .sum();
    }

    private static List<HistoryRecord> validHistoryWith(HistoryRecord... more) {
        List<HistoryRecord> all = new ArrayList<>(validHistory());
        all.addAll(List.of(more));
        return all;
    }

    /** A model call of another program, answered with {@code text} after a run of three tokens. */
    private static List<HistoryRecord> validHistoryWithModelCall(
            String attempt, String key, String text) {
        return validHistoryWith(
                new CallerSent(400, attempt, "host-1", FAMILY, key, Kind.MODEL, true, "hello"),
                new TargetCall(401, 405, "engine-1", Kind.MODEL, FAMILY, key, 5, 3),
                answered(410, attempt, text, 1));
    }

    private static List<HistoryRecord> withoutReadBack(List<HistoryRecord> history) {
        return history.stream().filter(record -> !(record instanceof HistoryRead)).toList();
    }

    private static List<HistoryRecord> withReadBack(List<Message> messages) {
        return replace(answer -> false, answer -> answer, messages);
    }

    private static List<HistoryRecord> replace(
            Predicate<CallerAnswered> which, UnaryOperator<CallerAnswered> change) {
        return replace(which, change, List.of(USER_MESSAGE_1, ANSWER_1, USER_MESSAGE_2, ANSWER_2));
    }

    private static List<HistoryRecord> replace(
            Predicate<CallerAnswered> which,
            UnaryOperator<CallerAnswered> change,
            List<Message> messages) {
        List<HistoryRecord> all = new ArrayList<>();
        for (HistoryRecord record : validHistory()) {
            all.add(
                    switch (record) {
                        case CallerAnswered answer when which.test(answer) -> change.apply(answer);
                        case HistoryRead read -> new HistoryRead(900, read.program(), messages);
                        default -> record;
                    });
        }
        return all;
    }

    private static CallerAnswered withTurn(CallerAnswered answer, int turn) {
        return answered(answer.atMs(), answer.attempt(), answer.text(), turn);
    }

    private static CallerAnswered withText(CallerAnswered answer, String text) {
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

    private static CallerDisconnected disconnected(long atMs, String attempt) {
        return new CallerDisconnected(atMs, attempt, true, "connection reset");
    }

    private static TargetCall modelRun(
            long atMs, long endMs, String runner, String key, long promptTokens, long output) {
        return new TargetCall(atMs, endMs, runner, Kind.MODEL, BIKE, key, promptTokens, output);
    }

    private static TargetCall orderRun(long atMs, String runner, String key) {
        return new TargetCall(atMs, atMs, runner, Kind.SERVICE, BIKE, key, 0, 0);
    }
}
