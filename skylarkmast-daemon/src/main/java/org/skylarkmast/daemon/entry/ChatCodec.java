package org.skylarkmast.daemon.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.program.Message;
import org.skylarkmast.core.program.Operation;
import org.skylarkmast.core.program.TurnSummary;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;

/** Parses and writes OpenAI-style chat completions. */
final class ChatCodec {
    private static final Set<String> ROLES = Set.of("system", "user", "assistant", "tool");

    private ChatCodec() {}

    /** Result of parsing a request body. */
    sealed interface ParseResult {

        /** The body is a valid request. */
        record Chat(Operation.ModelTurn turn, boolean stream) implements ParseResult {}

        /** The body is not a valid request; {@code detail} is returned to the caller. */
        record Invalid(String detail) implements ParseResult {}
    }

    static ParseResult parse(byte[] body) {
        JsonNode root;
        try {
            root = JsonUtil.MAPPER.readTree(body);
        } catch (JacksonException e) {
            return new ParseResult.Invalid("the body is not JSON: " + e.getOriginalMessage());
        }
        if (root == null || !root.isObject()) {
            return new ParseResult.Invalid("the body must be a JSON object");
        }
        if (!root.path("model").isString()) {
            return new ParseResult.Invalid("model must be a string");
        }
        JsonNode maxTokens = root.path("max_tokens");
        if (!maxTokens.isMissingNode() && (!maxTokens.isInt() || maxTokens.asInt() < 1)) {
            return new ParseResult.Invalid("max_tokens must be a whole number above 0");
        }
        if (!root.path("messages").isArray()) {
            return new ParseResult.Invalid("messages must be an array");
        }
        List<Message> messages = new ArrayList<>();
        for (JsonNode message : root.path("messages")) {
            String role = message.path("role").asString("");
            if (!ROLES.contains(role) || !message.path("content").isString()) {
                return new ParseResult.Invalid(
                        "messages["
                                + messages.size()
                                + "] must have a role of "
                                + ROLES
                                + " and a string as content");
            }
            messages.add(new Message(role, message.path("content").asString()));
        }
        return new ParseResult.Chat(
                new Operation.ModelTurn(
                        root.path("model").asString(), messages, maxTokens.asInt(0)),
                root.path("stream").asBoolean(false));
    }

    /** The body of an unstreamed answer. */
    static String answer(String id, String text, TurnSummary summary, String owner) {
        Map<String, Object> root = commonFields(id, "chat.completion", summary.model());
        root.put(
                "choices",
                List.of(
                        Map.of(
                                "index",
                                0,
                                "message",
                                Map.of("role", "assistant", "content", text),
                                "finish_reason",
                                "stop")));
        addSummary(root, summary, owner);
        return JsonUtil.MAPPER.writeValueAsString(root);
    }

    /** A chunk of a streamed answer. */
    static String chunk(String id, String model, String text) {
        Map<String, Object> root = commonFields(id, "chat.completion.chunk", model);
        root.put("choices", List.of(Map.of("index", 0, "delta", Map.of("content", text))));
        return JsonUtil.MAPPER.writeValueAsString(root);
    }

    /** The last chunk of a streamed answer, with the summary. */
    static String lastChunk(String id, TurnSummary summary, String owner) {
        Map<String, Object> root = commonFields(id, "chat.completion.chunk", summary.model());
        root.put(
                "choices", List.of(Map.of("index", 0, "delta", Map.of(), "finish_reason", "stop")));
        addSummary(root, summary, owner);
        return JsonUtil.MAPPER.writeValueAsString(root);
    }

    /** Metadata about the program and the turn that accompanies an answer. */
    static Map<String, Object> summaryFields(TurnSummary summary, String owner) {
        Map<String, Object> summaryFields = new LinkedHashMap<>();
        summaryFields.put("program", summary.program().id());
        summaryFields.put("turn", summary.turn());
        summaryFields.put("owner", owner);
        summaryFields.put("partition", summary.partition());
        summaryFields.put("epoch", summary.epoch());
        summaryFields.put("cachedTokens", summary.cachedTokens());
        summaryFields.put("computedTokens", summary.computedTokens());
        summaryFields.put("budgetLeftTokens", summary.budgetLeftTokens());
        summaryFields.put("durability", summary.copied() ? "copied" : "committed");
        return summaryFields;
    }

    private static Map<String, Object> commonFields(String id, String object, String model) {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("id", id);
        root.put("object", object);
        root.put("model", model);
        return root;
    }

    private static void addSummary(Map<String, Object> root, TurnSummary summary, String owner) {
        root.put(
                "usage",
                Map.of(
                        "prompt_tokens",
                        summary.promptTokens(),
                        "completion_tokens",
                        summary.outputTokens(),
                        "total_tokens",
                        summary.promptTokens() + summary.outputTokens(),
                        "prompt_tokens_details",
                        Map.of("cached_tokens", summary.cachedTokens())));
        root.put("skylarkmast", summaryFields(summary, owner));
    }
}
