package org.skylarkmast.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.http.ServerRequest;
import tools.jackson.databind.JsonNode;

class CommandLineTest {
    private static final String PRIORITY =
            "[{\"kind\":\"priority\",\"name\":\"p\",\"level\":1,\"maxWaitMs\":5}]";
    private static final Path EXAMPLES = Path.of("..", "examples");

    @TempDir private Path folder;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final List<ServerRequest> requests = new ArrayList<>();
    private HttpReply reply = HttpReply.json(200, "{\"revision\":5}");
    private HttpServer server;
    private String closedAddress;
    private Path file;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.start("127.0.0.1", 0, 1_000_000, this::answer);
        HttpServer closed = HttpServer.start("127.0.0.1", 0, 1_000_000, this::answer);
        closedAddress = address(closed);
        closed.close();
        file = Files.writeString(folder.resolve("objects.json"), PRIORITY);
    }

    @AfterEach
    void stop() {
        server.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"workshops.json", "consortium.json"})
    void validatesExamplesWithoutServer(String example) {
        assertThat(run("validate", EXAMPLES.resolve(example).toString())).isEqualTo(ExitCode.OK);
        assertThat(requests).isEmpty();
    }

    @Test
    void reportsProblemsInFiles() throws IOException {
        Path bad = Files.writeString(folder.resolve("bad.json"), PRIORITY.replace("5", "-5"));
        assertThat(run("validate", file.toString(), bad.toString())).isEqualTo(ExitCode.INVALID);
        assertThat(err.toString(StandardCharsets.UTF_8))
                .contains("bad.json[0]: priority/p: maxWaitMs: expected at least 1, found -5");
        assertThat(runOnServer("apply", bad.toString())).isEqualTo(ExitCode.INVALID);
        assertThat(requests).isEmpty();
    }

    @Test
    void applySendsKeyBaseRevisionAndWriteId() {
        ExitCode code =
                runOnServer(
                        "apply", "--base-revision", "4", "--write-id", "abcdefgh", file.toString());
        assertThat(code).isEqualTo(ExitCode.OK);
        assertThat(out.toString(StandardCharsets.UTF_8).strip()).isEqualTo("revision 5");
        ServerRequest request = requests.getFirst();
        assertThat(request.header("authorization")).hasValue("Bearer secret");
        JsonNode body = JsonUtil.MAPPER.readTree(request.body());
        assertThat(body.path("baseRevision").asLong()).isEqualTo(4);
        assertThat(body.path("writeId").asString()).isEqualTo("abcdefgh");
        assertThat(body.path("apply").toString()).isEqualTo(PRIORITY);
    }

    @Test
    void triesServersInTurnWithTheSameWriteId() {
        assertThat(run("--server", closedAddress, "--server", address(server), "status"))
                .isEqualTo(ExitCode.UNREACHABLE);
        requests.clear();
        assertThat(run("--server", closedAddress + "," + address(server), "delete", "priority/p"))
                .isEqualTo(ExitCode.OK);
        JsonNode body = JsonUtil.MAPPER.readTree(requests.getFirst().body());
        assertThat(body.path("delete").toString())
                .isEqualTo("[{\"kind\":\"priority\",\"name\":\"p\"}]");
        assertThat(body.path("baseRevision").isNull()).isTrue();
        assertThat(body.path("writeId").asString()).isNotEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "409 | {\"baseRevision\":3,\"revisionInForce\":4} | CONFLICT | revision 4",
                "422 | {\"problems\":[{\"path\":\"level\",\"message\":\"wrong\"}]} | INVALID |"
                        + " level: wrong",
                "401 | {\"detail\":\"no key\"} | REFUSED | no key",
                "500 | nonsense | REFUSED | 500",
                "503 | {\"detail\":\"down\",\"execution\":\"not-run\"} | UNREACHABLE | down",
                "503 | {\"detail\":\"lost\",\"execution\":\"unknown\"} | UNREACHABLE |"
                        + " --write-id abcdefgh",
            })
    void mapsUnsuccessfulPublishToExitCode(
            int status, String body, ExitCode expected, String message) {
        reply = HttpReply.json(status, body);
        assertThat(runOnServer("apply", "--write-id", "abcdefgh", file.toString()))
                .isEqualTo(expected);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains(message);
    }

    @Test
    void diffPrintsAddedAndRemovedObjects() {
        reply =
                HttpReply.json(
                        200,
                        "{\"dryRun\":true,\"revision\":4,\"added\":[\"model/m\"],\"changed\":[],"
                                + "\"removed\":[\"budget/b\"]}");
        assertThat(runOnServer("diff", file.toString())).isEqualTo(ExitCode.OK);
        assertThat(JsonUtil.MAPPER.readTree(requests.getFirst().body()).path("dryRun").asBoolean())
                .isTrue();
        assertThat(out.toString(StandardCharsets.UTF_8).lines().toList())
                .containsExactly("+ model/m", "- budget/b", "compared with revision 4")
                .inOrder();
    }

    @ParameterizedTest
    @CsvSource({"'', 2", "priority, 1", "priority/p, 1", "model, 0"})
    void getsObjectsByKindAndName(String filter, int objects) {
        reply =
                HttpReply.json(
                        200,
                        "{\"revision\":4,\"objects\":[{\"kind\":\"priority\",\"name\":\"p\"},"
                                + "{\"kind\":\"budget\",\"name\":\"b\"}]}");
        List<String> args = new ArrayList<>(List.of("--output", "json", "get"));
        Stream.of(filter).filter(text -> !text.isEmpty()).forEach(args::add);
        assertThat(runOnServer(args.toArray(String[]::new))).isEqualTo(ExitCode.OK);
        assertThat(JsonUtil.MAPPER.readTree(out.toByteArray())).hasSize(objects);
    }

    @Test
    void printsHistoryAndPrograms() {
        reply = HttpReply.json(200, "[{\"turn\":1,\"role\":\"user\",\"content\":\"two seats\"}]");
        assertThat(runOnServer("history", "families", "a b/child")).isEqualTo(ExitCode.OK);
        assertThat(requests.getFirst().path()).isEqualTo("/v1/programs/families/a b/child/history");
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("two seats");
        assertThat(runOnServer("programs", "--workspace", "families")).isEqualTo(ExitCode.OK);
        assertThat(requests.getLast().query()).containsExactly("workspace", "families");
        reply = HttpReply.json(404, "{\"detail\":\"not known here\"}");
        assertThat(runOnServer("history", "families", "x")).isEqualTo(ExitCode.REFUSED);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "steer",
                "apply",
                "validate none.json",
                "delete p",
                "delete disk/x",
                "--server localhost:80 status",
                "--output xml status",
                "history ws",
                "--key-file none status",
                "--timeout-ms 0 status",
                "programs"
            })
    void rejectsInvalidCommandLines(String line) {
        String[] args = line.isEmpty() ? new String[0] : line.split(" ");
        assertThat(run(args)).isEqualTo(ExitCode.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).isNotEmpty();
    }

    @Test
    void helpNamesEveryCommandAndExitCode() {
        assertThat(run("--help")).isEqualTo(ExitCode.OK);
        String help = out.toString(StandardCharsets.UTF_8);
        for (String command :
                List.of(
                        "apply",
                        "validate",
                        "get",
                        "delete",
                        "diff",
                        "status",
                        "programs",
                        "history",
                        "version")) {
            assertThat(help).contains(command);
        }
        for (ExitCode code : ExitCode.values()) {
            assertThat(help).contains(code.status() + "  " + code.meaning());
        }
    }

    @Test
    void readsKeyFromFileAndPrintsVersion() throws IOException {
        Path key = Files.writeString(folder.resolve("key"), "from-file\n");
        runOnServer("--key-file", key.toString(), "apply", file.toString());
        assertThat(requests.getFirst().header("authorization")).hasValue("Bearer from-file");
        assertThat(run("version")).isEqualTo(ExitCode.OK);
        assertThat(out.toString(StandardCharsets.UTF_8)).containsMatch("skylarkmast [0-9]+\\.");
    }

    private HttpReply answer(ServerRequest request) {
        requests.add(request);
        return reply;
    }

    private ExitCode runOnServer(String... args) {
        List<String> all = new ArrayList<>(List.of("--server", address(server)));
        all.addAll(List.of(args));
        return run(all.toArray(String[]::new));
    }

    private ExitCode run(String... args) {
        return new CommandLine(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        Map.of("SKYLARKMAST_KEY", "secret"))
                .run(args);
    }

    private static String address(HttpServer server) {
        return "127.0.0.1:" + server.port();
    }
}
