package org.skylarkmast.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.skylarkmast.http.HttpOutcome;
import org.skylarkmast.standins.StandInCalls;
import org.skylarkmast.standins.StandInJson;
import tools.jackson.databind.JsonNode;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EngineStandInTest {
    private static final String COMPLETIONS = "/v1/chat/completions";
    private static final String PROGRAM = "ws:p";
    private static final int ALL_LINES = 100_000;
    private static final String FIVE_TOKENS_BODY = body("give me tokens=5");
    private static final List<String> FIVE_TOKENS = answerTokens("give me tokens=5", 5);

    @TempDir Path folder;

    private Path record;
    private EngineStandIn engine;
    private StandInCalls calls;

    @BeforeEach
    void start() throws IOException {
        record = folder.resolve("record");
        engine =
                EngineStandIn.start(
                        0,
                        new EngineOptions(
                                "e1", "m", "v1", 1e6, 1e4, 40, 1, 1, true, Optional.of(record)));
        calls = new StandInCalls(engine.port());
    }

    @AfterEach
    void stop() {
        calls.close();
        engine.close();
    }

    @Test
    void streamsAnswerAndUsage() throws IOException {
        StandInCalls.StreamedAnswer answer = complete(FIVE_TOKENS_BODY, 1);
        assertThat(answer.outcome()).isInstanceOf(HttpOutcome.Answered.class);
        assertThat(answer.lines().getLast()).isEqualTo("data: [DONE]");
        assertThat(contentTokens(answer)).containsExactlyElementsIn(FIVE_TOKENS).inOrder();
        JsonNode usage = chunk(answer.lines().get(answer.lines().size() - 2)).get("usage");
        assertThat(usage.get("prompt_tokens").asInt()).isEqualTo(7);
        assertThat(usage.get("completion_tokens").asInt()).isEqualTo(5);
        assertThat(Files.readAllLines(record)).hasSize(2);
    }

    @Test
    void reportsTokensOfEarlierTurnAsCached() {
        complete(FIVE_TOKENS_BODY, 1);
        String next =
                "{\"model\":\"m\",\"messages\":["
                        + "{\"role\":\"user\",\"content\":\"give me tokens=5\"},"
                        + "{\"role\":\"assistant\",\"content\":\""
                        + String.join(" ", FIVE_TOKENS)
                        + "\"},{\"role\":\"user\",\"content\":\"tokens=1\"}]}";
        StandInCalls.StreamedAnswer answer = complete(next, 1);
        JsonNode usage = chunk(answer.lines().get(answer.lines().size() - 2)).get("usage");
        assertThat(usage.get("prompt_tokens_details").get("cached_tokens").asInt())
                .isEqualTo(7 + 4 + 5);
    }

    @Test
    void resumesBrokenStreamAtOffset() {
        engine.setFaults(new EngineFaults(0, false, 2, false, false, null, false));
        StandInCalls.StreamedAnswer broken = complete(FIVE_TOKENS_BODY, 1);
        assertThat(broken.outcome()).isInstanceOf(HttpOutcome.Broken.class);
        assertThat(contentTokens(broken))
                .containsExactlyElementsIn(FIVE_TOKENS.subList(0, 2))
                .inOrder();
        String id = chunk(broken.lines().getFirst()).get("id").asString();
        StandInCalls.StreamedAnswer rest =
                calls.stream("GET", "/v1/streams/" + id + "?offset=2", "", Map.of(), ALL_LINES);
        assertThat(contentTokens(rest))
                .containsExactlyElementsIn(FIVE_TOKENS.subList(2, 5))
                .inOrder();
        assertThat(calls.answered("GET", "/v1/streams/none", "").status()).isEqualTo(404);
    }

    @Test
    void cancelsStream() {
        engine.setFaults(new EngineFaults(0, false, 1, false, false, null, false));
        StandInCalls.StreamedAnswer broken = complete(body("tokens=100000"), 1);
        String id = chunk(broken.lines().getFirst()).get("id").asString();
        assertThat(calls.answered("DELETE", "/v1/streams/" + id, "").status()).isEqualTo(204);
        StandInCalls.StreamedAnswer rest =
                calls.stream("GET", "/v1/streams/" + id + "?offset=0", "", Map.of(), ALL_LINES);
        assertThat(rest.outcome()).isInstanceOf(HttpOutcome.Broken.class);
    }

    @Test
    void rejectsCallsBeyondBatchAndQueueWithoutRunningThem() throws IOException {
        engine.setFaults(new EngineFaults(0, false, 0, true, false, null, false));
        Thread running = Thread.ofVirtual().start(() -> complete(FIVE_TOKENS_BODY, 1));
        Thread waiting = Thread.ofVirtual().start(() -> complete(FIVE_TOKENS_BODY, 1));
        while (!metrics().contains("running 1\nengine_requests_waiting 1\n")) {
            Thread.onSpinWait();
        }
        HttpOutcome outcome = complete(FIVE_TOKENS_BODY, 1).outcome();
        engine.setFaults(EngineFaults.NONE);
        join(running);
        join(waiting);
        assertThat(((HttpOutcome.Answered) outcome).status()).isEqualTo(429);
        assertThat(((HttpOutcome.Answered) outcome).header("retry-after")).isPresent();
        assertThat(Files.readAllLines(record)).hasSize(4);
    }

    @ParameterizedTest(name = "{0} {1} under epoch {2}: {3}")
    @CsvSource({
        "POST, /v1/chat/completions, 4, 409",
        "DELETE, /cache/ws%3Ap, 4, 409",
        "DELETE, /cache/ws%3Aother, 4, 204",
        "POST, /orders, 4, 200"
    })
    void rejectsStaleEpochOfTheSameSubjectOnly(String method, String path, int epoch, int status) {
        complete(FIVE_TOKENS_BODY, 5);
        String body =
                path.equals("/orders")
                        ? "{\"order\":\"change_role\",\"role\":\"x\"}"
                        : FIVE_TOKENS_BODY;
        HttpOutcome outcome = calls.send(method, path, body, headers(epoch));
        assertThat(((HttpOutcome.Answered) outcome).status()).isEqualTo(status);
    }

    @Test
    void executesOrdersAndRejectsThoseWithStaleEpoch() {
        String order = "{\"order\":\"load_model\",\"model\":\"m\",\"version\":\"v2\"}";
        Map<String, String> newer = Map.of("Skylarkmast-Epoch", "7");
        Map<String, String> older = Map.of("Skylarkmast-Epoch", "6");
        complete(FIVE_TOKENS_BODY, 1);
        assertThat(((HttpOutcome.Answered) calls.send("POST", "/orders", order, newer)).status())
                .isEqualTo(200);
        HttpOutcome.Answered rejected =
                (HttpOutcome.Answered) calls.send("POST", "/orders", order, older);
        assertThat(rejected.status()).isEqualTo(409);
        assertThat(rejected.text()).isEqualTo("{\"highestEpoch\":7}");
        assertThat(calls.answered("GET", "/orders", "").text())
                .isEqualTo(
                        "{\"model\":\"m\",\"version\":\"v2\","
                                + "\"role\":\"mixed\",\"highestEpoch\":7}");
        assertThat(calls.answered("GET", "/cache", "").text()).isEqualTo("{\"programs\":{}}");
    }

    @Test
    void evictsLeastRecentlyUsedProgramAndReportsIt() {
        complete(FIVE_TOKENS_BODY, 1);
        for (String program : List.of("ws:q", "ws:r")) {
            Map<String, String> headers = Map.of("Skylarkmast-Program", program);
            calls.stream("POST", COMPLETIONS, FIVE_TOKENS_BODY, headers, ALL_LINES);
        }
        assertThat(calls.answered("GET", "/cache", "").text())
                .isEqualTo("{\"programs\":{\"ws:q\":16,\"ws:r\":16}}");
        StandInCalls.StreamedAnswer events =
                calls.stream("GET", "/cache/events?after=2", "", Map.of(), 5);
        assertThat(events.lines())
                .containsAtLeast(
                        "{\"sequence\":3,\"program\":\"ws:q\",\"cachedTokens\":7}",
                        "{\"sequence\":6,\"program\":\"ws:p\",\"cachedTokens\":0}")
                .inOrder();
    }

    @Test
    void lostEventsLeaveGapInSequence() {
        engine.setFaults(new EngineFaults(0, false, 0, false, false, null, true));
        complete(FIVE_TOKENS_BODY, 1);
        engine.setFaults(EngineFaults.NONE);
        deleteCacheOfProgram();
        StandInCalls.StreamedAnswer events =
                calls.stream("GET", "/cache/events?after=0", "", Map.of(), 1);
        assertThat(events.lines())
                .containsExactly("{\"sequence\":3,\"program\":\"ws:p\",\"cachedTokens\":0}");
    }

    @Test
    void exportsAndImportsCacheOfProgram() {
        complete(FIVE_TOKENS_BODY, 1);
        String exported = calls.answered("GET", "/cache/ws%3Ap/export", "").text();
        deleteCacheOfProgram();
        calls.answered("PUT", "/cache/ws%3Ap/import", exported);
        assertThat(calls.answered("GET", "/cache", "").text()).contains("\"ws:p\":16");
    }

    @Test
    void reportsLoadSetByFault() {
        engine.setFaults(new EngineFaults(0, false, 0, false, false, 42, false));
        assertThat(metrics()).contains("engine_requests_running 42\n");
    }

    private void deleteCacheOfProgram() {
        HttpOutcome outcome = calls.send("DELETE", "/cache/ws%3Ap", "", headers(1));
        assertThat(((HttpOutcome.Answered) outcome).status()).isEqualTo(204);
        assertThat(calls.answered("GET", "/cache", "").text()).doesNotContain("ws:p");
    }

    private String metrics() {
        return calls.answered("GET", "/metrics", "").text();
    }

    private StandInCalls.StreamedAnswer complete(String body, int epoch) {
        return calls.stream("POST", COMPLETIONS, body, headers(epoch), ALL_LINES);
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static Map<String, String> headers(int epoch) {
        return Map.of("Skylarkmast-Program", PROGRAM, "Skylarkmast-Epoch", Integer.toString(epoch));
    }

    private static String body(String content) {
        return "{\"model\":\"m\",\"max_tokens\":100000,\"messages\":"
                + "[{\"role\":\"user\",\"content\":\""
                + content
                + "\"}]}";
    }

    private static List<String> answerTokens(String content, int count) {
        Prompt prompt = new Prompt(List.of(new PromptMessage("user", content)));
        return java.util.stream.IntStream.range(0, count).mapToObj(prompt::answerWord).toList();
    }

    private static List<String> contentTokens(StandInCalls.StreamedAnswer answer) {
        return answer.lines().stream()
                .filter(line -> !line.equals("data: [DONE]"))
                .map(EngineStandInTest::chunk)
                .map(chunk -> chunk.path("choices").path(0).path("delta").path("content"))
                .filter(JsonNode::isString)
                .map(content -> content.asString().strip())
                .toList();
    }

    private static JsonNode chunk(String line) {
        byte[] json =
                line.substring("data: ".length()).getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return StandInJson.readTree(json).orElseThrow();
    }
}
