package org.skylarkmast.standins.engine;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.http.ServerRequest;
import org.skylarkmast.standins.EpochCheck;
import org.skylarkmast.standins.StandInJson;
import tools.jackson.databind.JsonNode;

/** A model engine as one process: the engine protocol and its faults on one port. */
public final class EngineStandIn implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final long EVENT_WAIT_MS = 1_000;
    private static final String CACHE = "/cache/";
    private static final String STREAMS = "/v1/streams/";
    private static final String ORDERS = "orders";

    private final Engine engine;
    private final EngineOrders orders;
    private final EpochCheck epochs;
    private final HttpServer server;

    private EngineStandIn(int port, EngineOptions options) throws IOException {
        this.engine = new Engine(options);
        this.orders = new EngineOrders(options.model(), options.version());
        this.epochs = new EpochCheck(options.checksEpoch());
        this.server = HttpServer.start(HOST, port, MAX_BODY_BYTES, this::handle);
    }

    /**
     * Starts an engine.
     *
     * @param port port to listen on, or 0 for a free one
     * @throws IOException if the port cannot be bound or the record not opened
     */
    public static EngineStandIn start(int port, EngineOptions options) throws IOException {
        return new EngineStandIn(port, options);
    }

    /** The port it listens on. */
    public int port() {
        return server.port();
    }

    /** Puts faults in force in place of the earlier ones. */
    public void setFaults(EngineFaults faults) {
        engine.setFaults(faults);
    }

    @Override
    public void close() {
        server.close();
        try {
            engine.close();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private HttpReply handle(ServerRequest call) {
        if (call.path().startsWith(STREAMS)) {
            return stream(call, call.path().substring(STREAMS.length()));
        }
        return switch (call.method() + " " + call.path()) {
            case "POST /v1/chat/completions" -> complete(call);
            case "GET /metrics" -> HttpReply.text(200, metrics());
            case "GET /cache" ->
                    HttpReply.json(
                            200, StandInJson.write(Map.of("programs", engine.cache().held())));
            case "GET /cache/events" -> cacheEvents(call);
            case "POST /orders" -> order(call);
            case "GET /orders" -> HttpReply.json(200, StandInJson.write(ordersView()));
            case "GET /faults" -> HttpReply.json(200, StandInJson.write(engine.faults()));
            case "POST /faults" -> faults(call);
            default -> call.path().startsWith(CACHE) ? cache(call) : notFound();
        };
    }

    private HttpReply complete(ServerRequest call) {
        Optional<JsonNode> request = StandInJson.readTree(call.body());
        if (request.isEmpty() || !request.get().path("messages").isArray()) {
            return HttpReply.json(400, "{\"error\":\"malformed request\"}");
        }
        if (engine.faults().refuse()) {
            return busy(503);
        }
        Optional<HttpReply> stale = epochs.refuseCall(call);
        if (stale.isPresent()) {
            return stale.get();
        }
        String model = request.get().path("model").asString("");
        if (!model.equals(orders.loaded().model())) {
            return HttpReply.json(404, "{\"error\":\"model is not loaded\"}");
        }
        return engine.start(engineCall(call, request.get()))
                .map(stream -> events(stream, 0))
                .orElseGet(() -> busy(429));
    }

    private static Engine.EngineCall engineCall(ServerRequest call, JsonNode request) {
        int maxTokens =
                request.path("max_completion_tokens")
                        .asInt(request.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
        return new Engine.EngineCall(
                call.header(EpochCheck.PROGRAM_HEADER).orElse(""),
                call.header("idempotency-key").orElse(""),
                EpochCheck.epoch(call),
                number(call.header("skylarkmast-priority")),
                Prompt.fromJson(request.path("messages")),
                maxTokens);
    }

    private HttpReply stream(ServerRequest call, String id) {
        Optional<TokenStream> stream = engine.stream(id);
        if (stream.isEmpty()) {
            return notFound();
        }
        return switch (call.method()) {
            case "GET" ->
                    events(stream.get(), number(Optional.ofNullable(call.query().get("offset"))));
            case "DELETE" -> {
                stream.get().cancel();
                yield noContent();
            }
            default -> notFound();
        };
    }

    private HttpReply events(TokenStream stream, int firstToken) {
        StreamWriter writer =
                new StreamWriter(
                        stream, orders.loaded().model(), firstToken, engine.takeBreakAfterTokens());
        return new HttpReply.Streamed(200, Map.of(), "text/event-stream", writer::writeTo);
    }

    private HttpReply cache(ServerRequest call) {
        String rest = call.path().substring(CACHE.length());
        if (call.method().equals("GET") && rest.endsWith("/export")) {
            String program = rest.substring(0, rest.length() - "/export".length());
            return engine.cache()
                    .tokens(program)
                    .map(tokens -> HttpReply.json(200, StandInJson.write(tokens)))
                    .orElseGet(EngineStandIn::notFound);
        }
        if (call.method().equals("PUT") && rest.endsWith("/import")) {
            return importCache(call, rest.substring(0, rest.length() - "/import".length()));
        }
        if (!call.method().equals("DELETE")) {
            return notFound();
        }
        Optional<HttpReply> stale = epochs.refuse(root(rest), call);
        if (stale.isPresent()) {
            return stale.get();
        }
        engine.cache().drop(rest);
        return noContent();
    }

    private HttpReply importCache(ServerRequest call, String program) {
        Optional<int[]> tokens = StandInJson.read(call.body(), int[].class);
        if (tokens.isEmpty()) {
            return HttpReply.json(400, "{\"error\":\"malformed cache\"}");
        }
        engine.cache().store(program, tokens.get());
        return noContent();
    }

    private HttpReply order(ServerRequest call) {
        Optional<HttpReply> stale = epochs.refuse(ORDERS, call);
        if (stale.isPresent()) {
            return stale.get();
        }
        Optional<EngineOrders.Loaded> before =
                StandInJson.readTree(call.body()).flatMap(orders::apply);
        if (before.isEmpty()) {
            return HttpReply.json(400, "{\"error\":\"malformed order\"}");
        }
        EngineOrders.Loaded now = orders.loaded();
        boolean sameWeights =
                before.get().model().equals(now.model())
                        && before.get().version().equals(now.version());
        if (!sameWeights) {
            engine.cache().clear();
        }
        return HttpReply.json(200, StandInJson.write(ordersView()));
    }

    private Map<String, Object> ordersView() {
        EngineOrders.Loaded loaded = orders.loaded();
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("model", loaded.model());
        view.put("version", loaded.version());
        view.put("role", loaded.role());
        view.put("highestEpoch", epochs.highest(ORDERS));
        return view;
    }

    private HttpReply cacheEvents(ServerRequest call) {
        long after = number(Optional.ofNullable(call.query().get("after")));
        return new HttpReply.Streamed(
                200, Map.of(), "application/jsonl", out -> writeEvents(out, after));
    }

    private void writeEvents(OutputStream out, long after) throws IOException {
        long last = after;
        out.flush();
        while (!engine.events().closed()) {
            List<CacheEventLog.CacheEvent> due;
            try {
                due = engine.events().awaitAfter(last, EVENT_WAIT_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new InterruptedIOException();
            }
            StringBuilder lines = new StringBuilder();
            for (CacheEventLog.CacheEvent event : due) {
                lines.append(StandInJson.write(event)).append('\n');
                last = event.sequence();
            }
            // An empty line shows a caller that has gone, and keeps one that has not.
            out.write((due.isEmpty() ? "\n" : lines.toString()).getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    private HttpReply faults(ServerRequest call) {
        Optional<EngineFaults> faults = StandInJson.read(call.body(), EngineFaults.class);
        if (faults.isEmpty()) {
            return HttpReply.text(400, "malformed faults\n");
        }
        engine.setFaults(faults.get());
        return HttpReply.json(200, "{}");
    }

    private String metrics() {
        EngineLoad load = engine.load();
        return "engine_requests_running "
                + load.running()
                + "\nengine_requests_waiting "
                + load.waiting()
                + "\nengine_cache_used_tokens "
                + load.cacheUsedTokens()
                + "\nengine_cache_capacity_tokens "
                + load.cacheCapacityTokens()
                + "\nengine_start_time_seconds "
                + engine.startedAtMs() / 1000.0
                + "\n";
    }

    private static String root(String program) {
        int slash = program.indexOf('/');
        return slash < 0 ? program : program.substring(0, slash);
    }

    private static int number(Optional<String> text) {
        try {
            return text.map(Integer::parseInt).orElse(0);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static HttpReply busy(int status) {
        return new HttpReply.Full(
                status, Map.of("Retry-After", "1"), "application/json", new byte[] {'{', '}'});
    }

    private static HttpReply noContent() {
        return new HttpReply.Full(204, Map.of(), "text/plain", new byte[0]);
    }

    private static HttpReply notFound() {
        return HttpReply.json(404, "{}");
    }
}
