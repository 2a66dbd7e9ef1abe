package org.skylarkmast.relay.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class BudgetRuleTest {
    private static final String OWN = "own";

    private static Usage open(String attempt, int tokens) {
        return new Usage(attempt, tokens, false);
    }

    private static Usage settled(String attempt, int tokens) {
        return new Usage(attempt, tokens, true);
    }

    static Stream<Arguments> cases() {
        List<Usage> own = List.of(open(OWN, 100));
        return Stream.of(
                Arguments.of("first turn", List.of(own), 100, BudgetRule.Verdict.GRANTED),
                Arguments.of(
                        "turn larger than the budget",
                        List.of(own),
                        99,
                        BudgetRule.Verdict.EXHAUSTED),
                Arguments.of(
                        "fits beside an open reservation",
                        List.of(List.of(open("a", 100), open(OWN, 100))),
                        200,
                        BudgetRule.Verdict.GRANTED),
                Arguments.of(
                        "blocked by an open reservation",
                        List.of(List.of(open("a", 101), open(OWN, 100))),
                        200,
                        BudgetRule.Verdict.HELD),
                Arguments.of(
                        "blocked by an open reservation that must have ended",
                        List.of(List.of(open("ended", 101), open(OWN, 100))),
                        200,
                        BudgetRule.Verdict.EXHAUSTED),
                Arguments.of(
                        "freed in part by the final count of an attempt that must have ended",
                        List.of(List.of(open("ended", 200)), List.of(settled("ended", 10))),
                        200,
                        BudgetRule.Verdict.GRANTED),
                Arguments.of(
                        "fits after an attempt that ended, blocked by an open one",
                        List.of(List.of(open("ended", 100), open("a", 1))),
                        200,
                        BudgetRule.Verdict.HELD),
                Arguments.of(
                        "blocked by settled usage",
                        List.of(List.of(settled("a", 101), open(OWN, 100))),
                        200,
                        BudgetRule.Verdict.EXHAUSTED),
                Arguments.of(
                        "a settled usage replaces the open one",
                        List.of(List.of(open("a", 200)), List.of(settled("a", 10))),
                        200,
                        BudgetRule.Verdict.GRANTED),
                Arguments.of(
                        "storage nodes report different attempts",
                        List.of(List.of(settled("a", 60)), List.of(settled("b", 60))),
                        200,
                        BudgetRule.Verdict.EXHAUSTED));
    }

    static Stream<Arguments> contenders() {
        BudgetRule.Precedence none = BudgetRule.Precedence.NONE;
        BudgetRule.Precedence ifWithdrawn = BudgetRule.Precedence.FIRST_IF_OTHERS_WITHDRAW;
        BudgetRule.Precedence first = BudgetRule.Precedence.FIRST;
        return Stream.of(
                Arguments.of("sorts first, room for one", "0", 100, ifWithdrawn),
                Arguments.of("sorts first, room for two", "0", 200, first),
                Arguments.of("sorts between, room for one", "b5", 100, none),
                Arguments.of("sorts between, room for two", "b5", 200, ifWithdrawn),
                Arguments.of("sorts last, room for two", "z", 200, none),
                Arguments.of("sorts first, no room", "0", 99, none),
                Arguments.of("room for all", "b5", 300, first));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("contenders")
    void firstContendersWaitForTheOthers(
            String name, String attempt, long budget, BudgetRule.Precedence precedence) {
        List<Usage> others = List.of(open("b", 100), open("c", 100), open("ended", 0));
        assertThat(
                        BudgetRule.decide(List.of(others), Set.of("ended"), attempt, 100, budget)
                                .precedence())
                .isEqualTo(precedence);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void decidesOnTheUnionOfAllReports(
            String name, List<List<Usage>> reports, long budget, BudgetRule.Verdict verdict) {
        assertThat(BudgetRule.decide(reports, Set.of("ended"), OWN, 100, budget).verdict())
                .isEqualTo(verdict);
    }
}
