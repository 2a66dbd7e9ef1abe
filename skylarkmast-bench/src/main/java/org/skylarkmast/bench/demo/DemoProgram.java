package org.skylarkmast.bench.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.http.HttpOutcome;
import tools.jackson.databind.JsonNode;

/** Runs the turns of one program and checks the answers, the history and the budget. */
final class DemoProgram {
    private static final String PROGRAM = "job-4711";
    private static final String SUB_AGENT = PROGRAM + "/parts";
    private static final long TOOL_DURATION_MS = 300;

    /** Tokens that the engine stand-in counts for each message in addition to its words. */
    private static final int TOKENS_PER_MESSAGE = 4;

    private final DemoCaller caller;
    private final Consumer<String> betweenTurns;
    private final Path orderRecord;
    private final PrintStream out;
    private final List<String> history = new ArrayList<>();
    private long budgetLeftTokens = Long.MAX_VALUE;

    /**
     * @param betweenTurns called with the owner's name between the second and the third turn
     */
    DemoProgram(
            DemoCaller caller, Consumer<String> betweenTurns, Path orderRecord, PrintStream out) {
        this.caller = caller;
        this.betweenTurns = betweenTurns;
        this.orderRecord = orderRecord;
        this.out = out;
    }

    void run() {
        streamedTurn();
        pause();
        order();
        String owner = turn(1, PROGRAM, "turn-2", "tool says chain ordered, estimate the job");
        betweenTurns.accept(owner);
        turn(2, SUB_AGENT, "sub-1", "which brake pads fit a 1998 city bike");
        turn(0, PROGRAM, "turn-3", "write the pickup notice");
        checkHistory();
        checkOrders();
        caller.send(1, request("DELETE", "/v1/programs/" + PROGRAM, PROGRAM, "end", Map.of()));
        out.println("program ended");
    }

    private void streamedTurn() {
        String text = "a customer brings a bike with a worn chain";
        StringBuilder answer = new StringBuilder();
        JsonNode last =
                caller.stream(
                        0,
                        request(
                                "POST",
                                "/v1/chat/completions",
                                PROGRAM,
                                "turn-1",
                                chat(text, true)),
                        answer);
        checkTurn("turn 1 (streamed)", answer.toString(), last, PROGRAM, text);
    }

    private String turn(int entry, String program, String key, String text) {
        HttpOutcome.Answered answered =
                caller.send(
                        entry,
                        request("POST", "/v1/chat/completions", program, key, chat(text, false)));
        JsonNode body = JsonUtil.MAPPER.readTree(answered.body());
        String answer = body.path("choices").path(0).path("message").path("content").asString("");
        return checkTurn(key, answer, body, program, text);
    }

    private String checkTurn(
            String title, String answer, JsonNode body, String program, String text) {
        JsonNode metadata = body.path("skylarkmast");
        out.printf(
                "%-18s owner=%s cachedTokens=%d computedTokens=%d budgetLeftTokens=%d%n  %s%n",
                title,
                metadata.path("owner").asString(""),
                metadata.path("cachedTokens").asInt(),
                metadata.path("computedTokens").asInt(),
                metadata.path("budgetLeftTokens").asLong(),
                answer);
        boolean isRootProgram = program.equals(PROGRAM);
        List<String> messages = isRootProgram ? history : new ArrayList<>();
        messages.add(text);
        int expected = messages.stream().mapToInt(DemoProgram::tokens).sum();
        check(
                body.path("usage").path("prompt_tokens").asInt() == expected,
                title
                        + ": number of prompt tokens does not match the history: "
                        + body.path("usage"));
        long budgetLeft = metadata.path("budgetLeftTokens").asLong();
        check(
                budgetLeft < budgetLeftTokens && budgetLeft >= 0,
                title + ": remaining budget must be non-negative and decrease, was " + budgetLeft);
        budgetLeftTokens = budgetLeft;
        messages.add(answer);
        return metadata.path("owner").asString("");
    }

    private void order() {
        Map<String, Object> body = Map.of("part", "chain", "count", 1);
        DemoCaller.DemoRequest request =
                request("POST", "/v1/services/parts/orders", PROGRAM, "order-1", body);
        HttpOutcome.Answered first = caller.send(1, request);
        HttpOutcome.Answered second = caller.send(2, request);
        out.println("order " + first.text());
        check(
                first.text().equals(second.text()),
                "a repeated request with the same key got a different answer");
    }

    private void checkHistory() {
        HttpOutcome.Answered answered =
                caller.send(
                        1, request("GET", "/v1/programs/" + PROGRAM, PROGRAM, "read", Map.of()));
        List<String> storedMessages = new ArrayList<>();
        JsonUtil.MAPPER
                .readTree(answered.body())
                .path("history")
                .forEach(message -> storedMessages.add(message.path("content").asString("")));
        check(
                storedMessages.equals(history),
                "history differs from the messages sent and received: " + storedMessages);
        out.println("history is whole: " + storedMessages.size() + " messages");
    }

    private void checkOrders() {
        try {
            long orders =
                    Files.readAllLines(orderRecord).stream()
                            .filter(line -> line.contains("order-1"))
                            .count();
            check(orders == 1, "the order ran " + orders + " times");
            out.println("the order ran once");
        } catch (IOException e) {
            throw new DemoFailure("cannot read the service's record file: " + e.getMessage());
        }
    }

    private static int tokens(String text) {
        return text.trim().split("\\s+").length + TOKENS_PER_MESSAGE;
    }

    private static Map<String, Object> chat(String text, boolean stream) {
        return Map.of(
                "model",
                "assistant",
                "stream",
                stream,
                "messages",
                List.of(Map.of("role", "user", "content", text)));
    }

    private static DemoCaller.DemoRequest request(
            String method, String path, String program, String key, Map<String, Object> body) {
        return new DemoCaller.DemoRequest(method, path, program, key, body);
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new DemoFailure(message);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(TOOL_DURATION_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new DemoFailure("interrupted");
        }
    }
}
