package org.skylarkmast.bench.caller;

import java.util.Locale;
import java.util.Optional;
import org.skylarkmast.bench.history.HistoryRecord.Execution;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.http.HttpOutcome;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;

/**
 * Reads the answer to a model call from the lines of a stream or from a complete body.
 *
 * <p>Not thread-safe; one instance per attempt.
 */
final class AnswerReader {
    private static final String DATA_PREFIX = "data:";
    private static final String ERROR_EVENT = "event: error";
    private static final String END_OF_STREAM = "[DONE]";

    private final long sentNs = System.nanoTime();
    private final StringBuilder text = new StringBuilder();
    private JsonNode metadata = JsonUtil.MAPPER.createObjectNode();
    private JsonNode problem;
    private boolean done;
    private boolean errorFollows;
    private long firstTokenMs = -1;

    /** Processes one line of the stream; always returns true, which continues the stream. */
    boolean onLine(String line) {
        if (!line.startsWith(DATA_PREFIX)) {
            errorFollows |= line.equals(ERROR_EVENT);
            return true;
        }
        String payload = line.substring(DATA_PREFIX.length()).strip();
        if (payload.equals(END_OF_STREAM)) {
            done = true;
            return true;
        }
        JsonNode chunk = JsonUtil.MAPPER.readTree(payload);
        if (errorFollows) {
            problem = chunk;
            return true;
        }
        if (chunk.has("skylarkmast")) {
            metadata = chunk.get("skylarkmast");
        }
        String content = chunk.path("choices").path(0).path("delta").path("content").asString("");
        if (!content.isEmpty() && firstTokenMs < 0) {
            firstTokenMs = (System.nanoTime() - sentNs) / 1_000_000;
        }
        text.append(content);
        return true;
    }

    /** Returns the outcome of a streamed call whose stream ended with {@code outcome}. */
    CallerOutcome streamedOutcome(HttpOutcome outcome) {
        if (problem != null) {
            return refused(problem.path("status").asInt(500), problem);
        }
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() / 100 == 2) {
            return done
                    ? succeeded(text.toString())
                    : new CallerOutcome.Disconnected(true, "stream ended without its end mark");
        }
        return failed(outcome);
    }

    /** Returns the outcome of a model call that was not streamed. */
    CallerOutcome bodyOutcome(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() / 100 == 2) {
            JsonNode body = JsonUtil.MAPPER.readTree(answered.body());
            metadata = body.path("skylarkmast");
            return succeeded(
                    body.path("choices").path(0).path("message").path("content").asString(""));
        }
        return failed(outcome);
    }

    /** Returns the outcome of a service call. */
    static CallerOutcome serviceOutcome(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() / 100 == 2) {
            String owner = answered.header("skylarkmast-owner").orElse("");
            return new CallerOutcome.Succeeded(answered.text(), owner, 0, -1, 0, 0, -1);
        }
        return failed(outcome);
    }

    private CallerOutcome succeeded(String answer) {
        return new CallerOutcome.Succeeded(
                answer,
                metadata.path("owner").asString(""),
                metadata.path("turn").asInt(0),
                metadata.path("budgetLeftTokens").asLong(-1),
                metadata.path("cachedTokens").asLong(0),
                metadata.path("computedTokens").asLong(0),
                firstTokenMs);
    }

    private static CallerOutcome failed(HttpOutcome outcome) {
        return switch (outcome) {
            case HttpOutcome.Answered answered ->
                    refused(
                            answered.status(),
                            problem(answered).orElse(JsonUtil.MAPPER.nullNode()));
            case HttpOutcome.NotSent notSent ->
                    new CallerOutcome.Disconnected(false, notSent.reason());
            case HttpOutcome.Broken broken -> new CallerOutcome.Disconnected(true, broken.reason());
            case HttpOutcome.TimedOut ignored ->
                    new CallerOutcome.Disconnected(true, "silent for too long");
        };
    }

    private static Optional<JsonNode> problem(HttpOutcome.Answered answered) {
        try {
            return Optional.of(JsonUtil.MAPPER.readTree(answered.body()));
        } catch (JacksonException e) {
            return Optional.empty();
        }
    }

    private static CallerOutcome refused(int status, JsonNode problem) {
        return new CallerOutcome.Refused(
                status,
                execution(problem.path("execution").asString("")),
                problem.path("retryAfterMs").asLong(-1),
                problem.path("detail").asString(problem.path("title").asString("")));
    }

    private static Execution execution(String value) {
        return switch (value.toLowerCase(Locale.ROOT)) {
            case "not-run" -> Execution.NOT_RUN;
            case "unknown" -> Execution.UNKNOWN;
            case "ran" -> Execution.RAN;
            default -> Execution.UNSTATED;
        };
    }
}
