package org.skylarkmast.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class PromptTest {
    private static final PromptMessage HELLO = new PromptMessage("user", "hello there");
    private static final PromptMessage REPLY = new PromptMessage("assistant", "w1-0 w1-1");
    private static final PromptMessage MORE = new PromptMessage("user", "more tokens=3");

    static Stream<Arguments> otherHistories() {
        return Stream.of(
                Arguments.of("turn missing", List.of(MORE)),
                Arguments.of("answer missing", List.of(HELLO, MORE)),
                Arguments.of("order changed", List.of(REPLY, HELLO, MORE)),
                Arguments.of(
                        "answer truncated",
                        List.of(HELLO, new PromptMessage("assistant", "w1-0"), MORE)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("otherHistories")
    void answerPrefixDiffersForOtherHistory(String name, List<PromptMessage> messages) {
        Prompt complete = new Prompt(List.of(HELLO, REPLY, MORE));
        assertThat(new Prompt(messages).answerPrefix()).isNotEqualTo(complete.answerPrefix());
        assertThat(new Prompt(List.of(HELLO, REPLY, MORE)).answerPrefix())
                .isEqualTo(complete.answerPrefix());
    }

    @Test
    void countsTokensOfWordsAndMessages() {
        assertThat(new Prompt(List.of(HELLO, REPLY)).tokens()).hasLength(2 + 2 + 2 * 4);
    }

    @Test
    void answerHasRequestedLengthUpToTheMaximum() {
        assertThat(new Prompt(List.of(HELLO, REPLY, MORE)).answerTokens(100)).isEqualTo(3);
        assertThat(new Prompt(List.of(HELLO, REPLY, MORE)).answerTokens(2)).isEqualTo(2);
        assertThat(new Prompt(List.of(HELLO)).answerTokens(100)).isAtLeast(8);
    }

    @Test
    void tokensOfNextPromptStartWithTokensOfPromptAndAnswer() {
        Prompt first = new Prompt(List.of(HELLO));
        int[] cached = first.tokensWithAnswer(2);
        String answer = first.answerWord(0) + " " + first.answerWord(1);
        int[] next =
                new Prompt(List.of(HELLO, new PromptMessage("assistant", answer), MORE)).tokens();
        assertThat(java.util.Arrays.copyOf(next, cached.length)).isEqualTo(cached);
    }
}
