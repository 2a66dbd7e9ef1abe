package org.skylarkmast.daemon.dispatch;

import java.util.function.BiConsumer;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;

/**
 * Parses an engine's answer from its event stream, which may continue over several connections.
 *
 * <p>Not thread-safe.
 */
final class EngineStream {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final BiConsumer<Integer, String> onToken;
    private final StringBuilder text = new StringBuilder();

    private String streamId = "";
    private int tokenCount;
    private int promptTokens;
    private int cachedTokens;
    private int outputTokens;
    private boolean usageSeen;
    private boolean complete;
    private boolean malformed;

    /**
     * @param onToken receives each token with its index
     */
    EngineStream(BiConsumer<Integer, String> onToken) {
        this.onToken = onToken;
    }

    /** Processes a line of the stream; returns whether to continue reading. */
    boolean onLine(String line) {
        if (!line.startsWith(DATA)) {
            return true;
        }
        String data = line.substring(DATA.length()).trim();
        if (data.equals(DONE)) {
            complete = usageSeen;
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
            onToken.accept(tokenCount, content);
            tokenCount++;
        }
        JsonNode usage = chunk.path("usage");
        if (usage.isObject()) {
            usageSeen = true;
            promptTokens = usage.path("prompt_tokens").asInt(0);
            outputTokens = usage.path("completion_tokens").asInt(0);
            cachedTokens = usage.path("prompt_tokens_details").path("cached_tokens").asInt(0);
        }
    }

    boolean isComplete() {
        return complete && !malformed;
    }

    boolean isResumable() {
        return !streamId.isEmpty() && !malformed;
    }

    String streamId() {
        return streamId;
    }

    int tokenCount() {
        return tokenCount;
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
