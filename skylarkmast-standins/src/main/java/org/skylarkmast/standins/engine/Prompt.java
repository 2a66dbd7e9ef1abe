package org.skylarkmast.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import tools.jackson.databind.JsonNode;

/**
 * A whole prompt: the messages of a program up to a turn.
 *
 * <p>A token is a word between blanks; a message has {@link #TOKENS_PER_MESSAGE} more. The answer
 * follows from the messages alone, so it shows what history the engine was given.
 */
public record Prompt(List<PromptMessage> messages) {

    /** Tokens that mark a message's start. */
    public static final int TOKENS_PER_MESSAGE = 4;

    private static final int MIN_ANSWER_TOKENS = 8;
    private static final int ANSWER_TOKENS_SPREAD = 24;
    private static final Pattern WANTED_TOKENS = Pattern.compile("tokens=(\\d{1,6})");

    public Prompt {
        messages = List.copyOf(messages);
    }

    /** Reads the {@code messages} of a chat completions request. */
    static Prompt fromJson(JsonNode messages) {
        List<PromptMessage> read = new ArrayList<>();
        for (JsonNode message : messages) {
            JsonNode content = message.path("content");
            read.add(
                    new PromptMessage(
                            message.path("role").asString(""),
                            content.isString() ? content.asString() : content.toString()));
        }
        return new Prompt(read);
    }

    /** What every word of the answer begins with: {@code w} and a digest of all messages. */
    public String mark() {
        return "w" + Long.toHexString(digest());
    }

    /** The {@code index}-th word of the answer, from 0. */
    public String answerWord(int index) {
        return mark() + "-" + index;
    }

    /** Length of the answer in tokens. */
    public int answerTokens(int maxTokens) {
        int wanted =
                wantedTokens()
                        .orElseGet(
                                () -> MIN_ANSWER_TOKENS + (int) (digest() % ANSWER_TOKENS_SPREAD));
        return Math.min(maxTokens, wanted);
    }

    /** The prompt's tokens, each as a number that stands for its text. */
    int[] tokens() {
        List<Integer> tokens = new ArrayList<>();
        for (PromptMessage message : messages) {
            addMessage(tokens, message);
        }
        return tokens.stream().mapToInt(Integer::intValue).toArray();
    }

    /** The tokens of this prompt with {@code answerTokens} words of its answer behind it. */
    int[] tokensWithAnswer(int answerTokens) {
        List<String> words = new ArrayList<>();
        for (int i = 0; i < answerTokens; i++) {
            words.add(answerWord(i));
        }
        List<PromptMessage> all = new ArrayList<>(messages);
        all.add(new PromptMessage("assistant", String.join(" ", words)));
        return new Prompt(all).tokens();
    }

    private static void addMessage(List<Integer> tokens, PromptMessage message) {
        for (int i = 0; i < TOKENS_PER_MESSAGE; i++) {
            tokens.add((message.role() + i).hashCode());
        }
        for (String word : message.content().strip().split("\\s+", -1)) {
            if (!word.isEmpty()) {
                tokens.add(word.hashCode());
            }
        }
    }

    private long digest() {
        CRC32C crc = new CRC32C();
        for (PromptMessage message : messages) {
            byte[] bytes =
                    (message.role() + '\0' + message.content() + '\0')
                            .getBytes(StandardCharsets.UTF_8);
            crc.update(bytes, 0, bytes.length);
        }
        return crc.getValue();
    }

    private Optional<Integer> wantedTokens() {
        for (PromptMessage message : messages.reversed()) {
            if (message.role().equals("user")) {
                Matcher matcher = WANTED_TOKENS.matcher(message.content());
                return matcher.find()
                        ? Optional.of(Integer.valueOf(matcher.group(1)))
                        : Optional.empty();
            }
        }
        return Optional.empty();
    }
}
