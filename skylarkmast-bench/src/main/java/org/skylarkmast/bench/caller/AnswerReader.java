package org.skylarkmast.bench.caller;

import java.util.Locale;
import java.util.Optional;
import org.skylarkmast.bench.history.HistoryRecord.Execution;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.http.HttpOutcome;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;

/**
 * Puts a model's answer together from a stream's lines or from a whole body.
 *
 * <p>Not thread-safe; one instance per attempt.
 */
final class AnswerReader {
    private static final String DATA = "data:";
    private static final String ERROR_EVENT = "event: error";
    private static final String DONE = "[DONE]";

    private final long sentNs = System.nanoTime();
    private final StringBuilder text = new StringBuilder();
    private JsonNode metadata = JsonUtil.MAPPER.createObjectNode();
    private JsonNode problem;
    private boolean done;
    private boolean errorFollows;
    private long firstTokenMs = -1;

    /** Takes one line of the stream; always reads on. */
    boolean onLine(String line) {
        if (!line.startsWith(DATA)) {
            errorFollows |= line.equals(ERROR_EVENT);
            return true;
        }
        String payload = line.substring(DATA.length()).strip();
        if (payload.equals(DONE)) {
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
        String piece = chunk.path("choices").path(0).path("delta").path("content").asString("");
        if (!piece.isEmpty() && firstTokenMs < 0) {
            firstTokenMs = (System.nanoTime() - sentNs) / 1_000_000;
        }
        text.append(piece);
        return true;
    }

    /** What the stream came to, once {@code outcome} has ended it. */
    CallerOutcome streamed(HttpOutcome outcome) {
        if (problem != null) {
            return refused(problem.path("status").asInt(500), problem);
        }
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() / 100 == 2) {
            return done
                    ? succeeded(text.toString())
                    : new CallerOutcome.Cut(true, "stream ended without its end mark");
        }
        return failed(outcome);
    }

    /** What a model call's answer that was not streamed came to. */
    CallerOutcome whole(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() / 100 == 2) {
            JsonNode body = JsonUtil.MAPPER.readTree(answered.body());
            metadata = body.path("skylarkmast");
            return succeeded(
                    body.path("choices").path(0).path("message").path("content").asString(""));
        }
        return failed(outcome);
    }

    /** What a service call came to. */
    static CallerOutcome service(HttpOutcome outcome) {
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
            case HttpOutcome.NotSent notSent -> new CallerOutcome.Cut(false, notSent.reason());
            case HttpOutcome.Broken broken -> new CallerOutcome.Cut(true, broken.reason());
            case HttpOutcome.TimedOut ignored -> new CallerOutcome.Cut(true, "silent for too long");
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

    private static Execution execution(String word) {
        return switch (word.toLowerCase(Locale.ROOT)) {
            case "not-run" -> Execution.NOT_RUN;
            case "unknown" -> Execution.UNKNOWN;
            case "ran" -> Execution.RAN;
            default -> Execution.UNSTATED;
        };
    }
}
