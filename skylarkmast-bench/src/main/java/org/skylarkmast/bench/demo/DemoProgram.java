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

/** Runs one program through its turns and checks everything that is said of it. */
final class DemoProgram {
    private static final String PROGRAM = "job-4711";
    private static final String SUB_AGENT = PROGRAM + "/parts";
    private static final long TOOL_PAUSE_MS = 300;

    /** The engine stand-in counts words, and this much for each message. */
    private static final int TOKENS_PER_MESSAGE = 4;

    private final DemoCaller caller;
    private final Consumer<String> betweenTurns;
    private final Path orderRecord;
    private final PrintStream out;
    private final List<String> history = new ArrayList<>();
    private long budgetLeftTokens = Long.MAX_VALUE;

    /**
     * @param betweenTurns run between the second and the third turn with the owner's name
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
        caller.send(1, ask("DELETE", "/v1/programs/" + PROGRAM, PROGRAM, "end", Map.of()));
        out.println("program ended");
    }

    private void streamedTurn() {
        String text = "a customer brings a bike with a worn chain";
        StringBuilder answer = new StringBuilder();
        JsonNode last =
                caller.stream(
                        0,
                        ask("POST", "/v1/chat/completions", PROGRAM, "turn-1", chat(text, true)),
                        answer);
        report("turn 1 (streamed)", answer.toString(), last, PROGRAM, text);
    }

    private String turn(int entry, String program, String key, String text) {
        HttpOutcome.Answered answered =
                caller.send(
                        entry,
                        ask("POST", "/v1/chat/completions", program, key, chat(text, false)));
        JsonNode root = JsonUtil.MAPPER.readTree(answered.body());
        String answer = root.path("choices").path(0).path("message").path("content").asString("");
        return report(key, answer, root, program, text);
    }

    private String report(String title, String answer, JsonNode root, String program, String text) {
        JsonNode told = root.path("skylarkmast");
        out.printf(
                "%-18s owner=%s cachedTokens=%d computedTokens=%d budgetLeftTokens=%d%n  %s%n",
                title,
                told.path("owner").asString(""),
                told.path("cachedTokens").asInt(),
                told.path("computedTokens").asInt(),
                told.path("budgetLeftTokens").asLong(),
                answer);
        boolean root0 = program.equals(PROGRAM);
        List<String> messages = root0 ? history : new ArrayList<>();
        messages.add(text);
        int expected = messages.stream().mapToInt(DemoProgram::tokens).sum();
        check(
                root.path("usage").path("prompt_tokens").asInt() == expected,
                title + ": the engine saw another history: " + root.path("usage"));
        long left = told.path("budgetLeftTokens").asLong();
        check(left < budgetLeftTokens && left >= 0, title + ": budget left is wrong: " + left);
        budgetLeftTokens = left;
        messages.add(answer);
        return told.path("owner").asString("");
    }

    private void order() {
        Map<String, Object> body = Map.of("part", "chain", "count", 1);
        DemoCaller.Ask ask = ask("POST", "/v1/services/parts/orders", PROGRAM, "order-1", body);
        HttpOutcome.Answered first = caller.send(1, ask);
        HttpOutcome.Answered again = caller.send(2, ask);
        out.println("order " + first.text());
        check(first.text().equals(again.text()), "the same key got another answer");
    }

    private void checkHistory() {
        HttpOutcome.Answered answered =
                caller.send(1, ask("GET", "/v1/programs/" + PROGRAM, PROGRAM, "read", Map.of()));
        List<String> kept = new ArrayList<>();
        JsonUtil.MAPPER
                .readTree(answered.body())
                .path("history")
                .forEach(message -> kept.add(message.path("content").asString("")));
        check(kept.equals(history), "the history is not whole: " + kept);
        out.println("history is whole: " + kept.size() + " messages");
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
            throw new DemoFailure("the service's record cannot be read: " + e.getMessage());
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

    private static DemoCaller.Ask ask(
            String method, String path, String program, String key, Map<String, Object> body) {
        return new DemoCaller.Ask(method, path, program, key, body);
    }

    private static void check(boolean right, String reason) {
        if (!right) {
            throw new DemoFailure(reason);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(TOOL_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new DemoFailure("interrupted");
        }
    }
}
