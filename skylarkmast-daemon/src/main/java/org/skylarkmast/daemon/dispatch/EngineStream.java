package org.skylarkmast.daemon.dispatch;

import java.util.function.BiConsumer;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;

/**
 * Reads an engine's answer from its event stream, over several connections if it is resumed.
 *
 * <p>Not thread-safe.
 */
final class EngineStream {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final BiConsumer<Integer, String> token;
    private final StringBuilder text = new StringBuilder();

    private String streamId = "";
    private int tokens;
    private int promptTokens;
    private int cachedTokens;
    private int outputTokens;
    private boolean usageSeen;
    private boolean done;
    private boolean malformed;

    /**
     * @param token told of each piece with its index
     */
    EngineStream(BiConsumer<Integer, String> token) {
        this.token = token;
    }

    /** Takes a line; returns whether to read on. */
    boolean onLine(String line) {
        if (!line.startsWith(DATA)) {
            return true;
        }
        String data = line.substring(DATA.length()).trim();
        if (data.equals(DONE)) {
            done = usageSeen;
            return true;
        }
        try {
            onChunk(JsonUtil.MAPPER.readTree(data));
            return true;
        } catch (JacksonException e) {
            malformed = true;
            return false;
        }
    }

    private void onChunk(JsonNode chunk) {
        streamId = chunk.path("id").asString(streamId);
        String content = chunk.path("choices").path(0).path("delta").path("content").asString("");
        if (!content.isEmpty()) {
            text.append(content);
            token.accept(tokens, content);
            tokens++;
        }
        JsonNode usage = chunk.path("usage");
        if (usage.isObject()) {
            usageSeen = true;
            promptTokens = usage.path("prompt_tokens").asInt(0);
            outputTokens = usage.path("completion_tokens").asInt(0);
            cachedTokens = usage.path("prompt_tokens_details").path("cached_tokens").asInt(0);
        }
    }

    boolean whole() {
        return done && !malformed;
    }

    boolean resumable() {
        return !streamId.isEmpty() && !malformed;
    }

    String streamId() {
        return streamId;
    }

    int tokens() {
        return tokens;
    }

    String text() {
        return text.toString();
    }

    int promptTokens() {
        return promptTokens;
    }

    int cachedTokens() {
        return cachedTokens;
    }

    int outputTokens() {
        return outputTokens;
    }
}
