package org.skylarkmast.daemon.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Workspace;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.CallerRequest;
import org.skylarkmast.core.program.Operation;
import org.skylarkmast.core.program.Refusal;
import org.skylarkmast.daemon.problem.ProblemReply;
import org.skylarkmast.daemon.telemetry.TraceParent;
import org.skylarkmast.http.HttpHandler;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.ServerRequest;

/** HTTP interface for callers: chat completions, service calls, reading and ending programs. */
public final class CallerHttpHandler implements HttpHandler {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String SERVICES_PATH = "/v1/services/";
    private static final String PROGRAMS_PATH = "/v1/programs/";

    private final Supplier<Configuration> configuration;
    private final RequestRouter router;
    private final RequestInstrumentation instrumentation;
    private final Executor requests;
    private final Supplier<String> keyGenerator;
    private final Function<ProgramKey, String> ownerName;

    /**
     * @param requests runs one blocking request per task
     * @param keyGenerator generates idempotency keys for requests without one
     * @param ownerName name of the node that owns a program, for the metadata of answers
     */
    public CallerHttpHandler(
            Supplier<Configuration> configuration,
            RequestRouter router,
            RequestInstrumentation instrumentation,
            Executor requests,
            Supplier<String> keyGenerator,
            Function<ProgramKey, String> ownerName) {
        this.configuration = configuration;
        this.router = router;
        this.instrumentation = instrumentation;
        this.requests = requests;
        this.keyGenerator = keyGenerator;
        this.ownerName = ownerName;
    }

    @Override
    public HttpReply handle(ServerRequest call) {
        Optional<Workspace> workspace =
                call.header("authorization")
                        .filter(value -> value.startsWith("Bearer "))
                        .map(value -> Digests.sha256Hex(value.substring("Bearer ".length())))
                        .flatMap(digest -> configuration.get().workspaceByKeyDigest(digest));
        if (workspace.isEmpty()) {
            return ProblemReply.unauthorized("a valid bearer key is required");
        }
        String name = workspace.get().name();
        if (call.path().equals(CHAT_PATH)) {
            return call.method().equals("POST") ? handleChat(call, name) : methodNotAllowed("POST");
        }
        if (call.path().startsWith(SERVICES_PATH)) {
            return handleService(call, name);
        }
        if (call.path().startsWith(PROGRAMS_PATH)) {
            return handleProgram(call, name);
        }
        return RefusalProblems.rejected(Refusal.Kind.NOT_FOUND, "no resource " + call.path());
    }

    private HttpReply handleChat(ServerRequest call, String workspace) {
        return switch (ChatCodec.parse(call.body())) {
            case ChatCodec.ParseResult.Invalid invalid ->
                    RefusalProblems.rejected(Refusal.Kind.INVALID, invalid.detail());
            case ChatCodec.ParseResult.Chat chat -> {
                String id = call.header("skylarkmast-program").orElse("");
                yield handleOperation(call, workspace, id, chat.turn(), chat.stream());
            }
        };
    }

    private HttpReply handleService(ServerRequest call, String workspace) {
        String rest = call.path().substring(SERVICES_PATH.length());
        int slash = rest.indexOf('/');
        if (slash <= 0) {
            return RefusalProblems.rejected(
                    Refusal.Kind.INVALID, "the path must be " + SERVICES_PATH + "{target}/{path}");
        }
        Operation operation =
                new Operation.ServiceCall(
                        rest.substring(0, slash),
                        call.method(),
                        rest.substring(slash),
                        call.header("content-type").orElse(""),
                        call.body());
        return handleOperation(
                call, workspace, call.header("skylarkmast-program").orElse(""), operation, false);
    }

    private HttpReply handleProgram(ServerRequest call, String workspace) {
        String id = call.path().substring(PROGRAMS_PATH.length());
        return switch (call.method()) {
            case "GET" -> handleOperation(call, workspace, id, new Operation.ReadProgram(), false);
            case "DELETE" ->
                    handleOperation(call, workspace, id, new Operation.EndProgram(), false);
            default -> methodNotAllowed("GET, DELETE");
        };
    }

    private HttpReply handleOperation(
            ServerRequest call, String workspace, String id, Operation operation, boolean stream) {
        Optional<String> problem = RequestHeaderValidator.findProblem(call, id);
        if (problem.isPresent()) {
            return RefusalProblems.rejected(Refusal.Kind.INVALID, problem.get());
        }
        CallerRequest request =
                new CallerRequest(
                        new ProgramKey(workspace, id),
                        call.header("skylarkmast-template").orElse(""),
                        call.header("idempotency-key").orElseGet(keyGenerator),
                        Digests.sha256Hex(JsonUtil.toBytes(operation)),
                        call.header(TraceParent.HEADER).orElse(""),
                        operation);
        BlockingQueue<CallerEvent> events = new LinkedBlockingQueue<>();
        AtomicBoolean listening = new AtomicBoolean(true);
        requests.execute(
                () ->
                        instrumentation.run(
                                request,
                                (tracedRequest, observer) ->
                                        router.serve(
                                                tracedRequest,
                                                event -> {
                                                    observer.accept(event);
                                                    events.add(event);
                                                    return listening.get();
                                                })));
        try {
            CallerEvent first = events.take();
            if (stream && !(first instanceof CallerEvent.Refused)) {
                return streamedReply(request, first, events, listening);
            }
            CallerEvent last = first;
            while (!last.isFinal()) {
                last = events.take();
            }
            return fullReply(request, last);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            listening.set(false);
            throw new IllegalStateException("interrupted while waiting for the answer", e);
        }
    }

    private HttpReply fullReply(CallerRequest request, CallerEvent last) {
        return switch (last) {
            case CallerEvent.ModelAnswered answered ->
                    HttpReply.json(
                            200,
                            ChatCodec.answer(
                                    request.idempotencyKey(),
                                    answered.text(),
                                    answered.summary(),
                                    ownerName.apply(request.program())));
            case CallerEvent.ServiceAnswered answered -> {
                Map<String, String> headers = new HashMap<>();
                ChatCodec.summaryFields(answered.summary(), ownerName.apply(request.program()))
                        .forEach(
                                (name, value) ->
                                        headers.put(
                                                "Skylarkmast-" + capitalize(name),
                                                String.valueOf(value)));
                yield new HttpReply.Full(
                        answered.status(), headers, answered.contentType(), answered.body());
            }
            case CallerEvent.Ended ended ->
                    HttpReply.json(
                            200,
                            JsonUtil.MAPPER.writeValueAsString(
                                    Map.of("program", ended.program().id(), "state", "ended")));
            case CallerEvent.ProgramRead read ->
                    HttpReply.json(200, JsonUtil.MAPPER.writeValueAsString(read));
            case CallerEvent.Refused refused -> RefusalProblems.reply(refused.refusal());
            case CallerEvent.Token ignored ->
                    throw new IllegalStateException("a token is not a final event");
        };
    }

    private HttpReply streamedReply(
            CallerRequest request,
            CallerEvent first,
            BlockingQueue<CallerEvent> events,
            AtomicBoolean listening) {
        return new HttpReply.Streamed(
                200,
                Map.of("Cache-Control", "no-store"),
                "text/event-stream",
                out -> {
                    try {
                        CallerEvent event = first;
                        while (true) {
                            writeEvent(request, event, out);
                            if (event.isFinal()) {
                                return;
                            }
                            event = events.take();
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                        throw new IOException("interrupted while streaming the answer", e);
                    } finally {
                        listening.set(false);
                    }
                });
    }

    private void writeEvent(CallerRequest request, CallerEvent event, OutputStream out)
            throws IOException {
        String id = request.idempotencyKey();
        String lines =
                switch (event) {
                    case CallerEvent.Token token ->
                            sseData(ChatCodec.chunk(id, modelOf(request), token.text()));
                    case CallerEvent.ModelAnswered answered ->
                            sseData(
                                            ChatCodec.lastChunk(
                                                    id,
                                                    answered.summary(),
                                                    ownerName.apply(request.program())))
                                    + sseData("[DONE]");
                    case CallerEvent.Refused refused ->
                            "event: error\n"
                                    + sseData(
                                            RefusalProblems.of(refused.refusal())
                                                    .toJson()
                                                    .toString());
                    case CallerEvent.ServiceAnswered ignored ->
                            throw new IllegalStateException(
                                    "unexpected event in the answer to a model call");
                    case CallerEvent.Ended ignored ->
                            throw new IllegalStateException(
                                    "unexpected event in the answer to a model call");
                    case CallerEvent.ProgramRead ignored ->
                            throw new IllegalStateException(
                                    "unexpected event in the answer to a model call");
                };
        out.write(lines.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static String modelOf(CallerRequest request) {
        return request.operation() instanceof Operation.ModelTurn turn ? turn.model() : "";
    }

    private static String sseData(String json) {
        return "data: " + json + "\n\n";
    }

    private static String capitalize(String fieldName) {
        return Character.toUpperCase(fieldName.charAt(0)) + fieldName.substring(1);
    }

    private static HttpReply methodNotAllowed(String allowed) {
        return new HttpReply.Full(405, Map.of("Allow", allowed), "text/plain", new byte[0]);
    }
}
