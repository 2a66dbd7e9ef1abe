package org.skylarkmast.standins.engine;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.skylarkmast.standins.StandInJson;

/** Writes the tokens of a stream as server-sent events. */
final class StreamWriter {
    private final TokenStream stream;
    private final String model;
    private final int firstToken;
    private final int breakAfterTokens;

    /**
     * @param firstToken index of the first token to write
     * @param breakAfterTokens number of tokens after which the connection is broken, or 0 for never
     */
    StreamWriter(TokenStream stream, String model, int firstToken, int breakAfterTokens) {
        this.stream = stream;
        this.model = model;
        this.firstToken = firstToken;
        this.breakAfterTokens = breakAfterTokens;
    }

    /** Writes each token as it is produced, then the usage. */
    void writeTo(OutputStream out) throws IOException {
        for (int i = firstToken; awaitToken(i); i++) {
            if (breakAfterTokens > 0 && i - firstToken >= breakAfterTokens) {
                throw new IOException("stream broken by fault injection");
            }
            String word = stream.prompt().answerWord(i);
            writeEvent(out, tokenChunk(i == 0 ? word : " " + word));
        }
        if (stream.producedTokens() < stream.totalTokens()) {
            throw new IOException("stream was cancelled");
        }
        writeEvent(out, finishChunk());
        writeEvent(out, usageChunk());
        write(out, "data: [DONE]\n\n");
    }

    private boolean awaitToken(int index) throws IOException {
        try {
            if (stream.awaitToken(index)) {
                return true;
            }
            stream.awaitEnd();
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException();
        }
    }

    private Map<String, Object> tokenChunk(String content) {
        return chunk(List.of(Map.of("index", 0, "delta", Map.of("content", content))));
    }

    private Map<String, Object> finishChunk() {
        return chunk(List.of(Map.of("index", 0, "delta", Map.of(), "finish_reason", "stop")));
    }

    private Map<String, Object> usageChunk() {
        int promptTokens = stream.prompt().tokens().length;
        return Map.of(
                "id",
                stream.id(),
                "object",
                "chat.completion.chunk",
                "model",
                model,
                "choices",
                List.of(),
                "usage",
                Map.of(
                        "prompt_tokens",
                        promptTokens,
                        "completion_tokens",
                        stream.producedTokens(),
                        "total_tokens",
                        promptTokens + stream.producedTokens(),
                        "prompt_tokens_details",
                        Map.of("cached_tokens", stream.cachedTokens())));
    }

    private Map<String, Object> chunk(List<Object> choices) {
        return Map.of(
                "id",
                stream.id(),
                "object",
                "chat.completion.chunk",
                "model",
                model,
                "choices",
                choices);
    }

    private static void writeEvent(OutputStream out, Map<String, Object> chunk) throws IOException {
        write(out, "data: " + StandInJson.write(chunk) + "\n\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
