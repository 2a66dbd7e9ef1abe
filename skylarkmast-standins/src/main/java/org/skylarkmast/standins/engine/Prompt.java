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
 * A complete prompt: the messages of a program up to and including one turn.
 *
 * <p>Each word separated by white space is a token, and each message adds {@link
 * #TOKENS_PER_MESSAGE}. The answer is a function of the messages alone, so that it reveals which
 * history the engine received.
 */
public record Prompt(List<PromptMessage> messages) {

    /** Number of tokens that precede the words of a message. */
    public static final int TOKENS_PER_MESSAGE = 4;

    private static final int MIN_ANSWER_TOKENS = 8;
    private static final int ANSWER_TOKENS_RANGE = 24;
    private static final Pattern REQUESTED_TOKENS = Pattern.compile("tokens=(\\d{1,6})");

    public Prompt {
        messages = List.copyOf(messages);
    }

    /** Parses the {@code messages} of a chat completions request. */
    static Prompt fromJson(JsonNode messages) {
        List<PromptMessage> parsed = new ArrayList<>();
        for (JsonNode message : messages) {
            JsonNode content = message.path("content");
            parsed.add(
                    new PromptMessage(
                            message.path("role").asString(""),
                            content.isString() ? content.asString() : content.toString()));
        }
        return new Prompt(parsed);
    }

    /** Returns the prefix of every word of the answer: {@code w} and a digest of all messages. */
    public String answerPrefix() {
        return "w" + Long.toHexString(digest());
    }

    /** Returns the word of the answer at {@code index}, counted from 0. */
    public String answerWord(int index) {
        return answerPrefix() + "-" + index;
    }

    /**
     * Returns the length of the answer in tokens.
     *
     * <p>It is the number that the last user message requests as {@code tokens=N}, otherwise one
     * derived from the digest; at most {@code maxTokens}.
     */
    public int answerTokens(int maxTokens) {
        int requested =
                requestedTokens()
                        .orElseGet(
                                () -> MIN_ANSWER_TOKENS + (int) (digest() % ANSWER_TOKENS_RANGE));
        return Math.min(maxTokens, requested);
    }

    /** Returns the tokens of the prompt, each as the hash code of its text. */
    int[] tokens() {
        List<Integer> tokens = new ArrayList<>();
        for (PromptMessage message : messages) {
            addMessage(tokens, message);
        }
        return tokens.stream().mapToInt(Integer::intValue).toArray();
    }

    /** Returns the tokens of this prompt followed by {@code answerTokens} words of its answer. */
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

    private Optional<Integer> requestedTokens() {
        for (PromptMessage message : messages.reversed()) {
            if (message.role().equals("user")) {
                Matcher matcher = REQUESTED_TOKENS.matcher(message.content());
                return matcher.find()
                        ? Optional.of(Integer.valueOf(matcher.group(1)))
                        : Optional.empty();
            }
        }
        return Optional.empty();
    }
}
