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

/** Reads and writes OpenAI-style chat completions. */
final class ChatCodec {
    private static final Set<String> ROLES = Set.of("system", "user", "assistant", "tool");

    private ChatCodec() {}

    /** What a body says. */
    sealed interface Parsed {

        /** A usable request. */
        record Chat(Operation.ModelTurn turn, boolean stream) implements Parsed {}

        /** What is wrong with it. */
        record Wrong(String detail) implements Parsed {}
    }

    static Parsed parse(byte[] body) {
        JsonNode root;
        try {
            root = JsonUtil.MAPPER.readTree(body);
        } catch (JacksonException e) {
            return new Parsed.Wrong("the body is not JSON: " + e.getOriginalMessage());
        }
        if (root == null || !root.isObject()) {
            return new Parsed.Wrong("the body must be a JSON object");
        }
        if (!root.path("model").isString()) {
            return new Parsed.Wrong("model must be a string");
        }
        JsonNode maxTokens = root.path("max_tokens");
        if (!maxTokens.isMissingNode() && (!maxTokens.isInt() || maxTokens.asInt() < 1)) {
            return new Parsed.Wrong("max_tokens must be a whole number above 0");
        }
        if (!root.path("messages").isArray()) {
            return new Parsed.Wrong("messages must be an array");
        }
        List<Message> messages = new ArrayList<>();
        for (JsonNode message : root.path("messages")) {
            String role = message.path("role").asString("");
            if (!ROLES.contains(role) || !message.path("content").isString()) {
                return new Parsed.Wrong(
                        "messages["
                                + messages.size()
                                + "] must have a role of "
                                + ROLES
                                + " and a string as content");
            }
            messages.add(new Message(role, message.path("content").asString()));
        }
        return new Parsed.Chat(
                new Operation.ModelTurn(
                        root.path("model").asString(), messages, maxTokens.asInt(0)),
                root.path("stream").asBoolean(false));
    }

    /** The body of an answer that is not streamed. */
    static String answer(String id, String text, TurnSummary summary, String owner) {
        Map<String, Object> root = head(id, "chat.completion", summary.model());
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

    /** One streamed piece. */
    static String chunk(String id, String model, String text) {
        Map<String, Object> root = head(id, "chat.completion.chunk", model);
        root.put("choices", List.of(Map.of("index", 0, "delta", Map.of("content", text))));
        return JsonUtil.MAPPER.writeValueAsString(root);
    }

    /** The last streamed piece. */
    static String lastChunk(String id, TurnSummary summary, String owner) {
        Map<String, Object> root = head(id, "chat.completion.chunk", summary.model());
        root.put(
                "choices", List.of(Map.of("index", 0, "delta", Map.of(), "finish_reason", "stop")));
        addSummary(root, summary, owner);
        return JsonUtil.MAPPER.writeValueAsString(root);
    }

    /** What is told of the program beside an answer. */
    static Map<String, Object> members(TurnSummary summary, String owner) {
        Map<String, Object> members = new LinkedHashMap<>();
        members.put("program", summary.program().id());
        members.put("turn", summary.turn());
        members.put("owner", owner);
        members.put("partition", summary.partition());
        members.put("epoch", summary.epoch());
        members.put("cachedTokens", summary.cachedTokens());
        members.put("computedTokens", summary.computedTokens());
        members.put("budgetLeftTokens", summary.budgetLeftTokens());
        members.put("durability", summary.copied() ? "copied" : "committed");
        return members;
    }

    private static Map<String, Object> head(String id, String object, String model) {
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
        root.put("skylarkmast", members(summary, owner));
    }
}
